//! Runs the adapter's binary on transcripts of its text protocol.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_glenfall-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = child.stdin.take().unwrap();
    let input = input.to_vec();
    let writer = std::thread::spawn(move || {
        // The adapter may stop reading at a malformed line.
        let _ = stdin.write_all(&input);
    });
    let output = child.wait_with_output().unwrap();
    writer.join().unwrap();
    output
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).expect("UTF-8")
}

/// The replies to valid input.
fn replies(input: &str) -> String {
    let output = run(input.as_bytes());
    assert!(output.status.success(), "{}", text(&output.stderr));
    text(&output.stdout)
}

const SETTINGS_JSON: &str = concat!(
    r#"{"balancers":2,"locality":"here","membership-mode":"on_request","round-s":0.005,"weight-source":"off","#,
    r#""grades":[{"name":"read","effect":"free","target-s":0.5,"hard-limit-s":2.0},"#,
    r#"{"name":"pay","effect":"odd","target-s":0.5,"hard-limit-s":2.0}],"#,
    r#""family-info":{"mode":"through"},"unheard-of":[1,2],"#,
    r#""guarantees":{"grace-to-answer-s":0.02,"ask-every-s":10,"cold-from":0.3,"ramp-time-s":8,"#,
    r#""drain-grace-s":0.5,"fall-multiple":3,"fall-s":1},"#,
    r#""limits":{"cancel":true,"max-attempts":3,"parallel-tries":true,"probes":true}}"#
);

fn attach(node: u64, seed: u64) -> String {
    format!(
        "attach {node} {seed} {SETTINGS_JSON}\nroster_change {node} cached 1 2\n\
         m Ready 10.0.0.1:80 here 1 box - 0\nm Ready 10.0.0.2:80 here 1 box - 0\n"
    )
}

/// A valid transcript of four batches: an empty one, the start of the nodes, 20 arrivals and a timer for each.
fn sample_transcript(nodes: &[u64]) -> String {
    let mut lines = String::from("sync 8.41225\ngo\nsync 9\n");
    nodes.iter().for_each(|&n| lines += &attach(n, 7 * n));
    lines += "go\nsync 9.1\n";
    for request in 0..20 {
        for n in nodes {
            lines += &format!("arrival {n} {} 0.4 - 0 - read - {}\n", n * 100 + request, request % 5);
        }
    }
    lines += "go\nsync 9.2\n";
    nodes.iter().for_each(|n| lines += &format!("ring {n} 0\n"));
    lines + "go\n"
}

#[test]
fn a_transcript_gets_the_expected_replies() {
    let mut input = String::from("sync 8.41225\ngo\nsync 9\n") + &attach(3, 1);
    input += "go\nsync 9.1\narrival 3 2811873703137732 0.4 0.012 1 - read 1800 4569004829183723\n";
    input += "withdrawn 3 77\ngo\nsync 9.15\n";
    input += "outcome 3 2811873703137732 0.05 0 10.0.0.1:80 0 overloaded - -\ngo\n";
    let replies = replies(&input);
    let replies: Vec<&str> = replies.split_inclusive("ack\n").collect();
    assert_eq!(replies[0], "ack\n");
    assert_eq!(replies[1], "set_timer 3 0 0.050000\nkeep_informed 3 1\nack\n");
    let first: Vec<&str> = replies[2].lines().collect();
    assert_eq!(first[0], "set_timer 3 2811873703137733 0.390000");
    assert!(first[1].starts_with("hand_off 3 2811873703137732 0.390000 10.0.0."), "{}", first[1]);
    assert_eq!(first.last(), Some(&"ack"));
    // The server rejected the request as overloaded: the next attempt goes to the other one.
    let other = if first[1].ends_with(".1:80") { "10.0.0.2:80" } else { "10.0.0.1:80" };
    assert!(replies[3].contains(&format!("hand_off 3 2811873703137732 0.340000 {other}")), "{}", replies[3]);
}

#[test]
fn configured_prices_lead_to_close_idle_actions() {
    let priced = SETTINGS_JSON
        .replace("\"balancers\":2", "\"balancers\":500,\"prices\":{\"connection\":0.1,\"handshake\":0.1}");
    let input = format!("sync 9\n{}go\n", attach(3, 1).replace(SETTINGS_JSON, &priced))
        + "sync 9.1\narrival 3 5 0.4 - 0 - read - 7\ngo\n"
        + "sync 9.2\noutcome 3 5 0.05 1 10.0.0.1:80 0 success 1 -\ngo\n";
    assert!(replies(&input).contains("close_idle 3 10.0.0."));
}

#[test]
fn the_retry_budget_and_the_close_on_drain_time_are_applied() {
    let rules = SETTINGS_JSON.replace(
        "\"fall-s\":1",
        r#""fall-s":1,"budget-span-s":5,"extra-free":0,"resend-ratio":0,"close-on-drain-within-s":1"#,
    );
    let input = format!("sync 9\n{}go\n", attach(3, 1).replace(SETTINGS_JSON, &rules))
        + "sync 9.1\narrival 3 5 0.4 - 0 - read - 7\ngo\n"
        + "sync 9.2\noutcome 3 5 0.05 0 10.0.0.1:80 0 overloaded - -\ngo\n"
        + "sync 9.3\nroster_change 3 delta 2 1\nm Terminating 10.0.0.1:80 here 1 box - 0\ngo\n";
    let replies = replies(&input);
    assert_eq!(replies.matches("hand_off").count(), 1, "{replies}");
    assert!(replies.contains("busy 3 5") && replies.contains("close_idle 3 10.0.0.1:80"), "{replies}");
}

#[test]
fn a_node_notifies_its_peers_of_an_unresponsive_server() {
    let peers = SETTINGS_JSON.replace("\"probes\":true", "\"probes\":true,\"peers\":true");
    let one =
        attach(3, 1).replace(SETTINGS_JSON, &peers).replace("2\nm Ready 10.0.0.1:80 here 1 box - 0", "1");
    let mut input = format!("sync 9\n{one}go\n");
    for (at, id) in [(10, 5), (11, 6)] {
        input += &format!("sync {at}\narrival 3 {id} 0.4 - 0 - read - 7\ngo\n");
        input += &format!(
            "sync {at}.4\noutcome 3 {id} 0.39 0 10.0.0.2:80 0 timed_out - -\nmessage 3 1 00ff\ngo\n"
        );
    }
    let replies = replies(&input);
    // 10.0.0.2:80 in hex digits, to all peers.
    assert!(replies.contains("write_peer 3 -1 31302e302e302e323a3830"), "{replies}");
    assert!(replies.contains("journal_line 3 10.0.0.2:80 fails, left alone"), "{replies}");
}

#[test]
fn the_same_input_gives_the_same_output_and_nodes_share_no_state() {
    let all = run(sample_transcript(&[1, 2, 3]).as_bytes());
    assert!(all.status.success());
    assert_eq!(all.stdout, run(sample_transcript(&[1, 2, 3]).as_bytes()).stdout);
    let lines_of = |output: &[u8], node: u64| -> Vec<String> {
        let names_node = |l: &&str| l.split(' ').nth(1) == Some(&node.to_string());
        text(output).lines().filter(names_node).map(String::from).collect()
    };
    for node in 1..=3 {
        let alone = run(sample_transcript(&[node]).as_bytes());
        let lines = lines_of(&all.stdout, node);
        assert!(lines.iter().any(|l| l.starts_with("hand_off")));
        assert_eq!(lines, lines_of(&alone.stdout, node));
    }
}

#[test]
fn a_node_attached_again_starts_without_state() {
    let input =
        format!("sync 1\n{}go\nsync 2\ndown 1\n{}go\nsync 3\ndown 1\ngo\n", attach(1, 1), attach(1, 2));
    assert_eq!(replies(&input).matches("keep_informed").count(), 2);
}

fn assert_fails(input: &[u8], line: u64, expected: &str) {
    let output = run(input);
    let stderr = text(&output.stderr);
    assert!(!output.status.success(), "{stderr}");
    assert!(stderr.contains(&format!("line {line}:")) && stderr.contains(expected), "{stderr}");
    assert!(!stderr.contains("panicked"), "{stderr}");
}

#[test]
fn errors_name_the_line_that_is_malformed() {
    for (input, line, expected) in [
        (&b"hello\n"[..], 1, "`sync`"),
        (b"sync abc\n", 1, "clock time"),
        (b"sync inf\n", 1, "clock time"),
        (b"sync 1\nfoo 1\n", 2, "a known message name"),
        (b"sync 1\narrival\n", 2, "node number"),
        (b"sync 1\narrival 4 1 0.2 - 0 - read - 1\n", 2, "an attached node"),
        (b"sync 1\nattach 1 2 {\n", 2, "JSON"),
        (b"sync 1\nattach 1 2 {}\n", 2, "grades"),
        (b"sync 1\n", 2, "`go`"),
        (b"sync 1\nroster_change 1 full 1 1\n", 3, "list entry"),
        (b"sync 1\n\xff\xfe\n", 2, "UTF-8"),
    ] {
        assert_fails(input, line, expected);
    }
    let with_rules = |rules: &str| format!("\"fall-s\":1,{rules}");
    for (from, to, expected) in [
        ("\"balancers\":2", "\"balancers\":0", "balancers"),
        ("\"ramp-time-s\":8", "\"ramp-time-s\":-8", "ramp"),
        ("\"fall-s\":1", &with_rules(r#""budget-span-s":-5,"extra-free":3"#), "budget-span-s: expected"),
        ("\"fall-s\":1", &with_rules(r#""budget-span-s":5,"resend-ratio":-0.1"#), "resend-ratio: expected"),
        ("\"fall-s\":1", &with_rules(r#""resend-ratio":0.1"#), "guarantees.budget-span-s: missing"),
        ("\"fall-s\":1", &with_rules(r#""close-on-drain-within-s":-1"#), "close-on-drain-within-s: expected"),
        ("\"fall-s\":1", "\"fall-t\":1", "guarantees.fall-s: missing"),
    ] {
        let invalid = SETTINGS_JSON.replace(from, to);
        assert_fails(format!("sync 1\nattach 1 2 {invalid}\n").as_bytes(), 2, expected);
    }
}

/// Changes or removes random bytes of a valid transcript, or truncates it. The adapter must end with an error message
/// or write complete replies, and never panic.
#[test]
fn corrupted_input_never_causes_a_panic() {
    let valid = sample_transcript(&[1, 2]).into_bytes();
    let mut seed = 9u64;
    let mut next = |n: usize| {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (seed >> 33) as usize % n
    };
    let mut errors = 0;
    for _ in 0..150 {
        let mut input = valid.clone();
        for _ in 0..=next(3) {
            let at = next(input.len());
            match next(3) {
                0 => input[at] = b" -\n0{\"z9.\xff"[next(10)],
                1 => drop(input.remove(at)),
                _ => input.truncate(at.max(1)),
            }
        }
        let output = run(&input);
        let (stdout, stderr) = (text(&output.stdout), text(&output.stderr));
        assert!(!stderr.contains("panicked"), "{stderr}");
        assert!(stdout.is_empty() || stdout.ends_with("ack\n"), "incomplete reply: {stdout}");
        assert_eq!(output.status.success(), stderr.is_empty(), "{stderr}");
        assert!(output.status.code().is_some(), "ended by a signal");
        errors += usize::from(!stderr.is_empty());
    }
    assert!(errors > 50, "{errors} of 150 were errors");
}
