//! The deploy files name the Debian packages that a clean build needs.

use std::collections::BTreeSet;

const SYSTEM: &str = include_str!("../../deploy/system.toml");
const BALANCER: &str = include_str!("../../deploy/balancer.toml");
const README: &str = include_str!("../../README.md");
const LOCK: &str = include_str!("../../Cargo.lock");

/// Packages without which no Rust program links, whatever it depends on.
const LINKING: [&str; 3] = ["gcc", "binutils", "libc6-dev"];
/// Crates whose build scripts look for a program or library of the system, and the package that has it.
const NEEDED_BY_CRATE: [(&str, &str); 6] = [
    ("cc", "gcc"),
    ("pkg-config", "pkg-config"),
    ("cmake", "cmake"),
    ("bindgen", "libclang-dev"),
    ("openssl-sys", "libssl-dev"),
    ("protobuf-src", "g++"),
];

fn packages(deploy_file: &str) -> Vec<String> {
    let table: toml::Table = deploy_file.parse().expect("a deploy file is TOML");
    let packages = table["packages"].as_array().expect("`packages` is an array");
    packages.iter().map(|name| name.as_str().expect("a package's name").to_owned()).collect()
}

fn is_locked(crate_name: &str) -> bool {
    LOCK.contains(&format!("name = \"{crate_name}\"\n"))
}

/// `libsqlite3-sys` names `pkg-config` and `vcpkg`, and calls neither where it builds the bundled source.
fn is_called(crate_name: &str) -> bool {
    is_locked(crate_name) && !(crate_name == "pkg-config" && is_locked("libsqlite3-sys"))
}

#[test]
fn both_deploy_files_name_the_packages_of_a_clean_build() {
    let system = packages(SYSTEM);
    assert_eq!(system, packages(BALANCER), "one build serves both");
    let unique: BTreeSet<&str> = system.iter().map(String::as_str).collect();
    assert_eq!(unique.len(), system.len(), "each is named once");
    for needed in LINKING.iter().chain(&["ca-certificates"]) {
        assert!(unique.contains(needed), "{needed} is missing");
    }
    for (crate_name, package) in NEEDED_BY_CRATE {
        assert!(!is_called(crate_name) || unique.contains(package), "{crate_name} needs {package}");
    }
}

#[test]
fn each_package_has_its_reason_and_stands_in_the_readme() {
    for deploy_file in [SYSTEM, BALANCER] {
        for package in packages(deploy_file) {
            let reason = format!("# {package}: ");
            assert!(deploy_file.lines().any(|line| line.starts_with(&reason)), "no reason for {package}");
        }
    }
    let command = format!("apt-get install {}", packages(SYSTEM).join(" "));
    assert!(README.contains(&command), "the README names other packages");
}
