SEED ?= 1
SECONDS ?= 25

.PHONY: all install build test soak format lint

all: build

install:
	scripts/install.sh

build:
	cmake -S . -B build -G Ninja
	cmake --build build

test: install build
	scripts/test.sh

soak: install build
	build/bin/corianderpost-soak --seed $(SEED) --seconds $(SECONDS) \
	  --router build/bin/corianderpost-router --folder build

format:
	clang-format -i $$(git ls-files '*.cc' '*.h')

lint:
	clang-format --dry-run --Werror $$(git ls-files '*.cc' '*.h')
	scripts/tidy.sh
