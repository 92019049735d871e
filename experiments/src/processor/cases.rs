//! The kinds of requests whose cost is measured.

/// Requests of one kind.
#[derive(Clone, Copy)]
pub struct Case {
    /// Its name in the report.
    pub name: &'static str,
    /// The method of its requests.
    pub method: &'static str,
    /// The class of its requests in the plan.
    pub class: &'static str,
    /// Whether each request is for an object of its own; otherwise all are for the same.
    pub new_objects: bool,
    /// Whether each request is sent on a connection of its own.
    pub new_connections: bool,
}

impl Case {
    const fn read(name: &'static str) -> Case {
        Case { name, method: "GET", class: "read", new_objects: false, new_connections: false }
    }

    const fn write(name: &'static str) -> Case {
        Case { name, method: "POST", class: "write", new_objects: true, new_connections: false }
    }

    const fn with_new_connections(self) -> Case {
        Case { new_connections: true, ..self }
    }
}

/// The cases that shields or origins serve.
pub const SHIELD_CASES: [Case; 6] = [
    Case::read("shield's copy"),
    Case::read("shield's copy, new connection").with_new_connections(),
    Case { class: "large", ..Case::read("shield's copy of 120 kB") },
    Case { new_objects: true, ..Case::read("miss") },
    Case::write("write"),
    Case::write("write, new connection").with_new_connections(),
];

/// The cases that edges serve.
pub const EDGE_CASES: [Case; 2] =
    [Case::read("edge's copy"), Case::read("edge's copy, new connection").with_new_connections()];
