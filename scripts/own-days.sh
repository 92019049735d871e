#!/usr/bin/env bash
# Generates fault scenarios ("days") for `fleetbench run SITE DAY.toml`. Each has the traffic of the site's quiet day, one
# or a few faults, and configuration changes, purges and scale-in throughout the run.
#   scripts/own-days.sh SITE.toml DIR [PATTERN]    writes the days whose names match PATTERN to DIR and prints their paths
# Faults and planned work of kinds that the site does not support are left out; a day with nothing left is not written.
set -euo pipefail
site=$1 dir=$2 pattern=${3:-.}
mkdir -p "$dir"
bench=../given/kit/more/system/more/bench-497b98/bin/fleetbench
known_kinds=$("$bench" kinds "$site" | sed -n 's/^\([a-z_]*\): .*/\1/p')

# The quiet day is the first day of a site.
quiet_day=$(awk '/^\[\[day\]\]/ { n++ } n == 1' "$site")
length_s=$(sed -n 's/^length_s = //p' "$site")

# name | closing fault | faults | planned work in addition to that of all days
# `at` is in seconds from the start of the traffic.
days='
cut-20s                  || core_cut at=4 for_s=20 count=1
cut-20s-leader           || core_cut at=4 for_s=20 count=1 how="leader"
cut-20s-one-way          || core_cut at=4 for_s=20 count=1 how="one_way"
cut-20s-leader-one-way   || core_cut at=4 for_s=20 count=1 how="leader one_way"
cut-20s-seeds            || core_cut at=4 for_s=20 count=1 how="seeds"
cut-20s-both             || core_cut at=4 for_s=16 count=1 how="both"
cut-20s-leader-reset     || core_cut at=4 for_s=20 count=1 how="leader reset"
cut-20s-leader-refuse    || core_cut at=4 for_s=20 count=1 how="leader refuse"
cut-20s-leader-meet      || core_cut at=4 for_s=20 count=1 how="leader meet"
cut-20s-leader-race      || core_cut at=4 for_s=20 count=1 how="leader race"
cut-20s-leader-hard      || core_cut at=4 for_s=20 count=1 how="leader meet hard"
cut-20s-drain            || core_cut at=4 for_s=16 count=1 how="leader drain"
cut-20s-reader           || core_cut at=4 for_s=20 count=1 how="reader meet"
cut-20s-seed             || core_cut at=4 for_s=20 count=1 how="seed meet"
cut-twice-leader         || core_cut at=3 for_s=6 count=1 how="leader meet"; core_cut at=16 for_s=6 count=1 how="leader race"
node-cut                 || node_cut at=5 for_s=15 share=0.3
node-cut-meet            || node_cut at=5 for_s=12 share=0.3 how="meet"
node-cut-servers         || node_cut at=5 for_s=10 share=0.3 how="servers"
kill-leader-meet         || node_kill at=4 on="core" count=1 for_s=3 how="leader meet"; node_kill at=16 on="core" count=1 for_s=3 how="leader race"
kill-leader-hard         || node_kill at=4 on="core" count=1 for_s=3 how="leader meet hard"; node_kill at=16 on="core" count=1 for_s=3 how="reader meet"
kill-drain               || node_kill at=4 on="core" count=1 for_s=3 how="leader drain"; node_kill at=16 on="core" count=1 for_s=3 how="seed drain"
power-leader-meet        || node_kill at=4 on="core" count=1 for_s=3 how="leader power meet"; node_kill at=16 on="core" count=1 for_s=3 how="leader power race"
power-14s                || node_kill at=4 on="core" count=1 for_s=14 how="leader power meet"
power-reader-drain       || node_kill at=4 on="core" count=1 for_s=5 how="reader power drain"; node_kill at=17 on="core" count=1 for_s=3 how="seed power meet"
freeze-leader-meet       || node_freeze at=4 on="core" count=1 for_s=6 how="leader meet"; node_freeze at=17 on="core" count=1 for_s=3 how="leader race"
freeze-20s               || node_freeze at=4 on="core" count=1 for_s=18 how="leader meet hard"
freeze-drain             || node_freeze at=4 on="core" count=1 for_s=6 how="reader drain"
freeze-edges             || node_freeze at=4 share=0.3 for_s=6
stall-leader             || disk_stall at=4 count=1 for_s=6 how="leader meet"; disk_stall at=17 count=1 for_s=3 how="leader race"
slow-leader              || disk_slow at=4 count=1 for_s=10 x=30 how="leader"
ack-kill                 || after_ack_kill at=4 for_s=3; after_ack_kill at=16 for_s=3 how="kill"
ack-kill-timed           || after_ack_kill at=4 for_s=3 how="timed"; after_ack_kill at=16 for_s=3 how="timed"
ack-kill-taken           || after_ack_kill at=4 for_s=3 how="taken"; after_ack_kill at=16 for_s=3 how="taken"
ack-wipe                 || after_ack_wipe at=4 for_s=3; after_ack_wipe at=16 for_s=3
ack-wipe-timed           || after_ack_wipe at=4 for_s=3 how="timed"; after_ack_wipe at=16 for_s=3 how="timed"
ack-wipe-taken           || after_ack_wipe at=4 for_s=3 how="taken"; after_ack_wipe at=16 for_s=3 how="taken"
herd-core                || herd_kill at=6 on="core" for_s=2; herd_kill at=18 on="core" for_s=2
herd-core-power          || herd_kill at=6 on="core" for_s=2 how="power"; herd_kill at=18 on="core" for_s=2 how="power"
herd-core-taken          || herd_kill at=6 on="core" for_s=2 how="taken"; herd_kill at=18 on="core" for_s=2 how="taken"
herd-all                 || herd_kill at=8 share=0.6 for_s=2 how="power"
clock-back-leader        || clock_step at=5 for_s=8 x=5000 share=0.5 how="back"
clock-ahead-leader       || clock_step at=5 for_s=8 x=5000 share=0.5 how="ahead"
term-core                || roll_term at=4 on="core" share=1 x=1 gap_s=5
term-core-busy           || roll_term at=4 on="core" share=1 x=1 gap_s=5 how="busy"
term-core-remove         || roll_term at=4 on="core" count=1 x=1 gap_s=5 how="remove"; node_kill at=18 on="core" count=1 for_s=3 how="leader power meet"
term-core-remove-busy    || roll_term at=4 on="core" count=1 x=1 gap_s=5 how="remove busy"
term-edges-busy          || roll_term at=4 share=0.6 x=2 gap_s=1 how="busy"
seed-turnover            || seed_turnover at=3; node_kill at=8 on="core" count=1 for_s=3 how="power meet"; node_kill at=14 share=0.3 for_s=2
big-race                 || big_config at=2 count=700; config_race at=4 count=20 gap_s=0.4; node_kill at=14 on="core" count=1 for_s=3 how="leader power meet"
storm-power              || purge_storm at=3 for_s=14 gap_s=0.05 how="tag"; node_kill at=7 on="core" count=1 for_s=3 how="leader power meet"
two-losses               || node_kill at=4 on="core" count=2 for_s=3 how="power"; after_ack_wipe at=15 for_s=3 count=2
close-power              | power_off_all down_s=1 |
close-power-timed        | power_off_all down_s=1 how="timed" |
close-power-taken        | power_off_all down_s=1 how="taken" |
close-wipe               | wipe_after_ack down_s=1 |
close-wipe-timed         | wipe_after_ack down_s=1 how="timed" |
close-wipe-taken         | wipe_after_ack down_s=1 how="taken" |
close-kill               | kill_all down_s=1 |
close-kill-timed         | kill_all down_s=1 how="timed" |
crash-answer-lost        || answer_lost at=4 for_s=8 x=0.1; srv_crash at=13 share=0.2 for_s=4; garble at=18 for_s=4 x=0.05 how="extra"
idle-flap                || idle_race at=4 for_s=8 x=200; srv_flap at=13 for_s=8 gap_s=1
grey-mute                || srv_grey at=4 for_s=8 how="mute"; srv_grey at=14 for_s=8 how="reset"
herd-edges               || herd_kill at=6 on="front" share=1 for_s=1; herd_kill at=18 on="front" share=1 for_s=1
herd-edges-power         || herd_kill at=6 on="front" share=1 for_s=1 how="power"; herd_kill at=18 on="front" share=1 for_s=1 how="power"
herd-every               || herd_kill at=6 share=1 for_s=1; herd_kill at=18 share=1 for_s=1
herd-every-power         || herd_kill at=6 share=1 for_s=1 how="power"; herd_kill at=18 share=1 for_s=1 how="power"
herd-every-taken         || herd_kill at=6 on="core" for_s=2 how="taken all"; herd_kill at=18 on="core" for_s=2 how="taken all"
herd-core-meet           || herd_kill at=6 on="core" for_s=2 how="power meet"; herd_kill at=18 on="core" for_s=2 how="race"
herd-core-drain          || herd_kill at=6 on="core" for_s=2 how="power drain"; herd_kill at=18 on="core" for_s=2 how="drain"
herd-edges-then-core     || herd_kill at=6 on="front" share=1 for_s=2; herd_kill at=7 on="core" for_s=2 how="power"; herd_kill at=18 share=0.6 for_s=1
herd-twice-close-power   | power_off_all down_s=1 how="taken" | herd_kill at=6 on="core" for_s=2 how="taken"; herd_kill at=18 on="core" for_s=2 how="power"
herd-twice-close-kill    | kill_all down_s=1 how="taken" | herd_kill at=6 share=1 for_s=1; herd_kill at=18 on="core" for_s=2 how="taken all"
herd-close-wipe          | wipe_after_ack down_s=1 how="taken" | herd_kill at=8 share=0.6 for_s=2 how="power"
close-kill-taken         | kill_all down_s=1 how="taken" |
close-wipe-oldest        | wipe_after_ack down_s=1 how="oldest" |
close-wipe-taken-oldest  | wipe_after_ack down_s=1 how="taken oldest" |
ack-wipe-oldest          || after_ack_wipe at=4 for_s=3 how="oldest"; after_ack_wipe at=16 for_s=3 how="oldest"
cut-20s-all              || core_cut at=4 for_s=20 count=1 how="leader all"
cut-20s-near             || core_cut at=4 for_s=20 count=1 how="near"
cut-20s-oldest           || core_cut at=4 for_s=20 count=1 how="oldest"
cut-20s-lure             || core_cut at=4 for_s=16 count=1 how="lure"
replace-core             || replace_core at=4 x=1; replace_core at=16 x=1 how="oldest"
replace-core-planned     ||| replace_core at=4 x=1 how="planned"; replace_core at=16 x=1 how="planned"
acks-lost                || ack_lost at=3 for_s=12 x=0.7 share=0.7; node_kill at=8 on="core" count=1 for_s=3 how="leader power meet"
bad-configs              || bad_config at=4 count=6 gap_s=1 how="stale_match"; bad_config at=12 count=6 gap_s=1 how="same_version"
disk-full                || disk_full at=4 count=1 for_s=8; node_kill at=16 on="core" count=1 for_s=3 how="leader power meet"
work-hup-config          ||| hup at=3 share=1 gap_s=6; config_change at=4 how="idle"; config_change at=6 how="timeout"; config_change at=8 how="route"
work-hup-term-busy       ||| hup at=3 share=1 gap_s=6; roll_term at=4 share=0.6 x=4 gap_s=1 how="busy"; config_change at=6 how="idle"; config_change at=8.5 how="route"
work-hup-term-remove     ||| roll_term at=3 share=0.3 x=2 gap_s=1 how="remove busy"; hup at=4 share=1 gap_s=8; config_change at=6 how="idle"; config_change at=8 how="timeout"
work-term-core-hup       ||| roll_term at=3 on="core" share=1 x=1 gap_s=6 how="busy"; hup at=4 share=1 gap_s=10; config_change at=8 how="idle"; release at=10 share=0.5 x=2 gap_s=1
garble-early             || garble at=3 for_s=10 x=0.15 share=1 how="early"; garble at=16 for_s=8 x=0.15 share=1 how="early"
garble-unframed          || garble at=3 for_s=10 x=0.15 share=1 how="unframed"; garble at=16 for_s=8 x=0.15 share=1 how="unframed"
give-up                  || give_up at=3 for_s=22 share=0.4; srv_slow at=6 for_s=14 share=0.4 x=4
work-term-slow           || srv_slow at=2 for_s=24 share=1 x=6 | roll_term at=4 share=0.8 x=8 gap_s=1
work-term-slow-busy      || srv_slow at=2 for_s=24 share=0.5 x=8 | roll_term at=4 share=0.8 x=8 gap_s=1 how="busy"
abuse-grey-errors        || retry_abuse at=3 for_s=22 share=0.3 x=3; srv_grey at=6 for_s=6 how="errors"; srv_grey at=16 for_s=6 how="errors across"
abuse-grey-shed          || retry_abuse at=3 for_s=22 share=0.3 x=3; srv_grey at=6 for_s=6 how="shed"; srv_grey at=16 for_s=6 how="busy"
abuse-grey-hang          || retry_abuse at=3 for_s=22 share=0.3 x=3; srv_grey at=6 for_s=6 how="hang"; srv_grey at=16 for_s=6 how="mute"
abuse-grey-reset         || retry_abuse at=3 for_s=22 share=0.3 x=3; srv_grey at=6 for_s=6 how="reset"; srv_grey at=16 for_s=6 how="slow"
mix-cut-herd-flap        || core_cut at=4 for_s=10 count=1 how="leader meet"; herd_kill at=6 on="front" share=0.5 for_s=1; srv_flap at=5 for_s=12 gap_s=1; purge_storm at=5 for_s=8 gap_s=0.1 how="tag"
mix-herd-grey-abuse      || herd_kill at=6 share=0.6 for_s=1 how="power"; retry_abuse at=4 for_s=20 share=0.3 x=3; srv_grey at=5 for_s=12 how="errors"; answer_lost at=12 for_s=6 x=0.05
mix-slow-burst           || node_slow at=4 for_s=10 share=0.3 x=5; disk_slow at=4 for_s=10 count=1 x=30; srv_slow at=6 for_s=8 x=3; burst at=8 for_s=4 x=1.5; node_kill at=16 on="core" count=1 for_s=3 how="leader power meet"
'

# Converts `kind at=4 how="x"; kind ...` to TOML entries of a day, without the kinds that the site does not support.
toml_entries() {
    local entry kind fields
    while IFS= read -r -d ';' entry; do
        read -r kind fields <<<"$entry"
        [ -n "$kind" ] && grep -qx "$kind" <<<"$known_kinds" || continue
        fields=$(sed -E 's/ ([a-z_]+=)/, \1/g; s/=/ = /g' <<<"$fields")
        printf '  { kind = "%s", %s },\n' "$kind" "$fields"
    done <<<"$1;"
}

number=0
while IFS='|' read -r name closing_fault fault_list work_list; do
    name=$(tr -d ' ' <<<"$name")
    number=$((number + 1))
    [[ -n $name && $name =~ $pattern ]] || continue
    faults=$(toml_entries "$fault_list")
    planned_work=$(toml_entries "$work_list")
    [ -n "$faults$planned_work" ] || [[ $closing_fault == *[a-z]* ]] || continue
    {
        echo "[[day]]"
        printf 'name = "own-%s"\nslot = "trouble"\nseed = %d\nlength_s = %s\n' "$name" $((7000 + number)) "$length_s"
        if read -r kind fields <<<"$closing_fault" && [ -n "$kind" ]; then
            printf 'closing = { kind = "%s", %s }\n' "$kind" "$(sed -E 's/ ([a-z_]+=)/, \1/g; s/=/ = /g' <<<"$fields")"
        fi
        printf 'faults = [\n%s\n]\n' "$faults"
        printf 'plan = [\n'
        [ -z "$planned_work" ] || printf '%s\n' "$planned_work"
        cat <<PLAN
  { at = 2.0, kind = "config_change", how = "route" },
  { at = 5.5, kind = "config_change", how = "weights" },
  { at = 7.0, kind = "purge", count = 8, gap_s = 1.5, how = "tag" },
  { at = 9.0, kind = "config_race", count = 4, gap_s = 2.0 },
  { at = 12.0, kind = "scale_in", share = 0.15 },
  { at = 19.0, kind = "config_change", how = "timeout" },
  { at = 24.5, kind = "config_race", count = 1, gap_s = 1.0 },
]
PLAN
        awk '/^(name|slot|seed|faults|closing|labels|wall|light) =/ { next }
             /^\[\[day\]\]/ { next }
             /^plan = \[/ { skip = !/\]$/; next }
             skip { if (/^\]/) skip = 0; next }
             { print }' <<<"$quiet_day"
        printf 'labels = []\nwall = 2.0\nlight = false\n'
    } >"$dir/own-$name.toml"
    echo "$dir/own-$name.toml"
done <<<"$days"
