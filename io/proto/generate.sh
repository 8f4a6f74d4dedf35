#!/usr/bin/env bash
# Regenerates io/wqpb. Needs protoc, protoc-gen-go, protoc-gen-connect-go and
# protoc-gen-twirp on the PATH; the build does not need them.
set -eu
cd "$(dirname "$0")"
out=../..
protos="wisteriaquay/v1/caller.proto wisteriaquay/v1/operator.proto wisteriaquay/v1/shard.proto wisteriaquay/v1/peer.proto"
protoc -I . --go_out="$out" --go_opt=module=wisteriaquay $protos
protoc -I . --connect-go_out="$out" --connect-go_opt=module=wisteriaquay \
	wisteriaquay/v1/caller.proto wisteriaquay/v1/operator.proto wisteriaquay/v1/shard.proto
protoc -I . --twirp_out="$out" --twirp_opt=module=wisteriaquay wisteriaquay/v1/peer.proto
