# Build, test and run targets. See CONTRIBUTING.md.
VERSION := 0.1.0
SANITIZE ?= 0
ifeq ($(SANITIZE),1)
BUILD ?= build-san
SAN := -fsanitize=address,undefined -fno-sanitize-recover=undefined -fno-omit-frame-pointer
OPT ?= -O1
else
BUILD ?= build
SAN :=
OPT ?= -O2
endif
export BUILD
PREFIX ?= /usr/local

PKGS := libzmq libmicrohttpd libcurl glib-2.0 jansson msgpack libxxhash libbsd libsodium
CC ?= gcc
# FAULTS=1 compiles in switches (CASSIA_FAULT) that disable single mechanisms, to show that tests detect it.
FAULTS ?= 0
CPPFLAGS += -D_GNU_SOURCE -DCS_VERSION='"$(VERSION)"' -DCS_FAULTS=$(FAULTS) -Ilib -I. $(shell pkg-config --cflags $(PKGS) 2>/dev/null)
WARN := -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes -Wmissing-prototypes -Wvla \
	-Wno-unused-parameter -Wformat=2
CFLAGS += -std=gnu11 -g $(OPT) $(WARN) $(SAN)
LDLIBS := $(shell pkg-config --libs $(PKGS) 2>/dev/null) -lev -lhttp_parser -lm
LDFLAGS += $(SAN)

LIBS := base workspace model wire policy store http bus link proxy steer
lib_src := $(foreach l,$(LIBS),$(wildcard lib/$(l)/*.c))
platform_obj := $(patsubst %.c,$(BUILD)/%.o,$(wildcard platform/*.c))
lib_obj := $(lib_src:%.c=$(BUILD)/%.o)
lib_ar := $(BUILD)/libcassia.a

name_lookupd := cassia-lookupd
name_proxyd := cassia-proxyd
name_agentd := cassia-agentd
name_ctl := cassiactl
name_load := cassia-load
name_check := cassia-check
name_node := cassia-node
PROGS := lookupd proxyd agentd ctl load check node
STANDINS := $(notdir $(patsubst %/,%,$(wildcard tests/standins/*/)))
TESTS := $(patsubst tests/unit/%.c,%,$(wildcard tests/unit/test-*.c))
BENCHES := $(patsubst tests/bench/%.c,%,$(wildcard tests/bench/bench-*.c))

bins := $(foreach p,$(PROGS),$(if $(wildcard src/$(p)/*.c),$(BUILD)/bin/$(name_$(p))))
standin_bins := $(foreach s,$(STANDINS),$(BUILD)/bin/standin-$(s))
test_bins := $(TESTS:%=$(BUILD)/tests/%)
bench_bins := $(BENCHES:%=$(BUILD)/tests/%)

.PHONY: all node deps check unit lint format demo bench prove soak stop-soak change-soak clean install tests
.DEFAULT_GOAL := all

all: $(bins) $(standin_bins)
# Builds only cassia-node, the program for the users' platform (deploy/system.toml).
node: $(BUILD)/bin/cassia-node
tests: all $(test_bins) $(bench_bins)

$(lib_ar): $(lib_obj)
	@mkdir -p $(@D)
	@rm -f $@
	ar rcs $@ $^

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c -o $@ $<

# Additional objects of a program outside src/NAME.
more_node := $(platform_obj)
more_ctl := $(platform_obj)

define prog_rule
$(BUILD)/bin/$(name_$(1)): $$(patsubst %.c,$(BUILD)/%.o,$$(wildcard src/$(1)/*.c)) $$(more_$(1)) $(lib_ar)
	@mkdir -p $$(@D)
	$$(CC) $$(LDFLAGS) -o $$@ $$^ $$(LDLIBS)
endef
$(foreach p,$(PROGS),$(eval $(call prog_rule,$(p))))

# A stand-in links the library archive and the objects listed in tests/standins/NAME/objs, if any.
standin_extra = $(addprefix $(BUILD)/,$(shell cat tests/standins/$(1)/objs 2>/dev/null))
define standin_rule
$(BUILD)/bin/standin-$(1): $$(patsubst %.c,$(BUILD)/%.o,$$(wildcard tests/standins/$(1)/*.c tests/lib/*.c)) $(call standin_extra,$(1)) $(lib_ar)
	@mkdir -p $$(@D)
	$$(CC) $$(LDFLAGS) -o $$@ $$^ $$(LDLIBS)
endef
$(foreach s,$(STANDINS),$(eval $(call standin_rule,$(s))))

# Unit tests link the library archive and the objects listed in tests/unit/NAME.objs, if any.
extra = $(addprefix $(BUILD)/,$(shell cat tests/unit/$(1).objs 2>/dev/null))
define test_rule
$(BUILD)/tests/$(1): $(BUILD)/tests/unit/$(1).o $(call extra,$(1)) $(lib_ar)
	@mkdir -p $$(@D)
	$$(CC) $$(LDFLAGS) -o $$@ $$^ $$(LDLIBS)
endef
$(foreach t,$(TESTS),$(eval $(call test_rule,$(t))))

# Benchmarks link the library archive and the objects listed in tests/bench/NAME.objs, if any.
bench_extra = $(addprefix $(BUILD)/,$(shell cat tests/bench/$(1).objs 2>/dev/null))
define bench_rule
$(BUILD)/tests/$(1): $(BUILD)/tests/bench/$(1).o $(call bench_extra,$(1)) $(lib_ar)
	@mkdir -p $$(@D)
	$$(CC) $$(LDFLAGS) -o $$@ $$^ $$(LDLIBS)
endef
$(foreach b,$(BENCHES),$(eval $(call bench_rule,$(b))))

deps:
	@bash tests/run/deps.sh

check: deps
	@bash tests/run/check.sh

unit: tests
	@bash tests/run/unit.sh

lint: deps
	@bash tests/run/lint.sh

format:
	clang-format -i $$(git ls-files '*.c' '*.h')

demo: deps
	@$(MAKE) --no-print-directory -j8 all >$(BUILD)-make.log 2>&1 || { cat $(BUILD)-make.log; exit 1; }
	@KEEP=$(KEEP) bash tests/run/demo.sh

bench: deps
	@$(MAKE) --no-print-directory -j8 tests >$(BUILD)-make.log 2>&1 || { cat $(BUILD)-make.log; exit 1; }
	@ONLY=$(ONLY) bash tests/run/bench.sh

prove: deps
	@$(MAKE) --no-print-directory -j8 all >$(BUILD)-make.log 2>&1 || { cat $(BUILD)-make.log; exit 1; }
	@SEED=$(SEED) bash tests/run/prove.sh

# Soak test of cassia-node under faults; SEED=n, SECONDS_LONG=n, INSTANCES=n.
soak: deps
	@$(MAKE) --no-print-directory -j8 all >$(BUILD)-make.log 2>&1 || { cat $(BUILD)-make.log; exit 1; }
	@SEED=$(SEED) bash tests/run/soak.sh

# Planned stops in series under load, from many real clients; SEED=n, SECONDS_LONG=n, INSTANCES=n, PER_S=n, GAP=s.
stop-soak: deps
	@$(MAKE) --no-print-directory -j8 all >$(BUILD)-make.log 2>&1 || { cat $(BUILD)-make.log; exit 1; }
	@SEED=$(SEED) bash tests/run/stop-soak.sh

# Changes of the operators' document in series under load, from many real clients; SEED=n, SECONDS_LONG=n, INSTANCES=n, PER_S=n.
change-soak: deps
	@$(MAKE) --no-print-directory -j8 all >$(BUILD)-make.log 2>&1 || { cat $(BUILD)-make.log; exit 1; }
	@SEED=$(SEED) bash tests/run/change-soak.sh

install: all
	install -d $(DESTDIR)$(PREFIX)/bin $(DESTDIR)$(PREFIX)/share/man/man1 $(DESTDIR)$(PREFIX)/share/bash-completion/completions
	install -m 755 $(bins) $(DESTDIR)$(PREFIX)/bin
	$(if $(wildcard man/*.1),install -m 644 $(wildcard man/*.1) $(DESTDIR)$(PREFIX)/share/man/man1)
	$(if $(wildcard completion/cassiactl.bash),install -m 644 completion/cassiactl.bash $(DESTDIR)$(PREFIX)/share/bash-completion/completions/cassiactl)

clean:
	rm -rf build build-san build-faults build-make.log build-san-make.log build-faults-make.log

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
