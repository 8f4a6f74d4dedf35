package wqconfig_test

import (
	"slices"
	"strings"

	"wisteriaquay/core/wqconfig"
)

func sortFetches(actions []wqconfig.Action) []wqconfig.Action {
	slices.SortFunc(actions, func(a, b wqconfig.Action) int {
		return -strings.Compare(a.(wqconfig.Fetch).Peer.ID, b.(wqconfig.Fetch).Peer.ID)
	})
	return actions
}

func withoutFetches(actions []wqconfig.Action) []wqconfig.Action {
	return slices.DeleteFunc(actions, func(a wqconfig.Action) bool {
		_, fetch := a.(wqconfig.Fetch)
		return fetch
	})
}
