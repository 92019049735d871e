//! When requests are refused that get no turn under a ceiling.

use std::time::Duration;

use glenfall_plane::ceiling::patience;

#[test]
fn who_waits_in_vain_is_refused_within_a_quarter_of_the_aim_as_the_client_sees_it() {
    // Both ways between client and edge, and between edge and shield, where zones are 1.4 ms apart.
    let ways = Duration::from_micros(2 * 3000 + 2 * 1400);
    for aim in (1..2000).map(Duration::from_millis) {
        let waits = patience(aim);
        assert!(waits.is_zero() || waits + ways < aim / 4, "{aim:?}: {waits:?}");
        assert!(waits <= aim / 5, "{aim:?}: what gets its turn comes in time");
    }
    assert_eq!([40, 80, 400].map(|ms| patience(Duration::from_millis(ms)).as_millis()), [0, 8, 80]);
}
