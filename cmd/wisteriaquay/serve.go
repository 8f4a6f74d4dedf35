package main

import (
	"context"

	"wisteriaquay/io/wqsetting"
)

func serve(context.Context, console, *wqsetting.Settings) error { return nil }
