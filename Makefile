GO ?= go
MODULES := ./core/... ./io/... ./platform/... ./cmd/... ./test/...
# Tests that put a VM under more load than its limits allow. They run after all others,
# because they would take the processor from them.
OVERLOAD_TESTS := ./test/crowd
# Tests that KNOWN-RED.txt names are passed over.
KNOWN_RED := $(shell sed -n 's/^test: //p' KNOWN-RED.txt 2>/dev/null | paste -sd '|' -)
SKIP := $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$')
LINT_VERSION := v2.15.0
LINT := bin/golangci-lint-$(LINT_VERSION)

# Time for each target of make fuzz.
FUZZ_TIME ?= 20s

# Tests of many processes in real time, which run apart from those that use all processors.
PROCESS_TESTS := ./test/e2e ./test/tier ./test/soak

.PHONY: build test fuzz lint format demo

build:
	$(GO) build -o bin/ ./cmd/wisteriaquay ./test/wqstand

# The race detector is on; seeds are fixed; no test asserts a wall-clock time
# that the machine alone decides.
test:
	$(GO) test -race -count=1 -timeout 20m $(SKIP) $$($(GO) list $(MODULES) | grep -vxF $(patsubst .%,-e wisteriaquay%,$(OVERLOAD_TESTS) $(PROCESS_TESTS)))
	$(GO) test -race -count=1 -timeout 20m $(SKIP) $(PROCESS_TESTS)
	$(GO) test -race -count=1 -timeout 10m $(SKIP) $(OVERLOAD_TESTS)

# Each fuzz target, given as package:name, runs for FUZZ_TIME. Inputs that fail are
# written to testdata of the package; commit them as seeds.
fuzz:
	@grep -rn --include='*_test.go' '^func Fuzz' . | sed -E 's|^(.*)/[^/]*_test.go:[0-9]+:func (Fuzz[A-Za-z]*).*|\1 \2|' | \
	while read -r package name; do \
		echo "$$package $$name"; \
		$(GO) test -run '^$$' -fuzz "^$$name\$$" -fuzztime $(FUZZ_TIME) "$$package" || exit 1; \
	done

lint: $(LINT)
	@for m in core io platform cmd test; do (cd $$m && ../$(LINT) run ./...) || exit 1; done

format: $(LINT)
	@for m in core io platform cmd test; do (cd $$m && ../$(LINT) fmt ./...) || exit 1; done

$(LINT):
	GOBIN=$(CURDIR)/bin/tmp GOWORK=off GOFLAGS=-mod=mod $(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)
	mv bin/tmp/golangci-lint $@

demo: build
	bin/wqstand demo --program bin/wisteriaquay
