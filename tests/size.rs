//! The module is to be ported by hand: it stays small and narrow.

const MODULE: &str = include_str!("../src/balance.rs");
/// All files that `policy` in the deploy file names.
const POLICY: [&str; 3] = [MODULE, include_str!("../src/rjch.rs"), include_str!("../src/shields.rs")];

#[test]
fn the_policy_files_have_at_most_1200_lines_of_at_most_110_characters() {
    let lines = POLICY.iter().flat_map(|file| file.lines()).filter(|line| !line.trim().is_empty()).count();
    assert!(lines <= 1200, "{lines} lines");
    for (index, line) in POLICY.iter().flat_map(|file| file.lines()).enumerate() {
        let width = line.chars().count();
        assert!(width <= 110, "line {} has {width} characters", index + 1);
    }
}

#[test]
fn module_names_its_interface_at_the_top() {
    assert!(MODULE.lines().take(5).any(|line| line.contains("src/interface.rs")));
}
