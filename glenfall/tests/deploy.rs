//! Checks that the deploy files list the Debian packages that a clean build needs.

use std::collections::BTreeSet;

const SYSTEM_DEPLOY_FILE: &str = include_str!("../../deploy/system.toml");
const BALANCER_DEPLOY_FILE: &str = include_str!("../../deploy/balancer.toml");
const README: &str = include_str!("../../README.md");
const CARGO_LOCK: &str = include_str!("../../Cargo.lock");

/// Packages needed to link any Rust program.
const LINKER_PACKAGES: [&str; 3] = ["gcc", "binutils", "libc6-dev"];
/// Crates whose build scripts need a system program or library, and the package that provides it.
const PACKAGE_BY_CRATE: [(&str, &str); 6] = [
    ("cc", "gcc"),
    ("pkg-config", "pkg-config"),
    ("cmake", "cmake"),
    ("bindgen", "libclang-dev"),
    ("openssl-sys", "libssl-dev"),
    ("protobuf-src", "g++"),
];

fn packages(deploy_file: &str) -> Vec<String> {
    let table: toml::Table = deploy_file.parse().expect("a deploy file is valid TOML");
    let packages = table["packages"].as_array().expect("`packages` is an array");
    packages.iter().map(|name| name.as_str().expect("a package name is a string").to_owned()).collect()
}

fn is_locked(crate_name: &str) -> bool {
    CARGO_LOCK.contains(&format!("name = \"{crate_name}\"\n"))
}

/// `libsqlite3-sys` depends on `pkg-config` and `vcpkg`, but calls neither when it builds the bundled source.
fn is_used_by_build(crate_name: &str) -> bool {
    is_locked(crate_name) && !(crate_name == "pkg-config" && is_locked("libsqlite3-sys"))
}

#[test]
fn both_deploy_files_list_the_packages_of_a_clean_build() {
    let listed = packages(SYSTEM_DEPLOY_FILE);
    assert_eq!(listed, packages(BALANCER_DEPLOY_FILE), "both deploy files list the same packages");
    let unique: BTreeSet<&str> = listed.iter().map(String::as_str).collect();
    assert_eq!(unique.len(), listed.len(), "each package is listed once");
    for package in LINKER_PACKAGES.iter().chain(&["ca-certificates"]) {
        assert!(unique.contains(package), "{package} is missing");
    }
    for (crate_name, package) in PACKAGE_BY_CRATE {
        assert!(!is_used_by_build(crate_name) || unique.contains(package), "{crate_name} needs {package}");
    }
}

#[test]
fn each_package_has_a_reason_and_is_listed_in_the_readme() {
    for deploy_file in [SYSTEM_DEPLOY_FILE, BALANCER_DEPLOY_FILE] {
        for package in packages(deploy_file) {
            let reason = format!("# {package}: ");
            assert!(deploy_file.lines().any(|line| line.starts_with(&reason)), "no reason for {package}");
        }
    }
    let command = format!("apt-get install {}", packages(SYSTEM_DEPLOY_FILE).join(" "));
    assert!(README.contains(&command), "the README lists other packages");
}
