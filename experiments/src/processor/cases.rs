//! The cases: the kinds of requests whose cost is measured.

/// A kind of request.
#[derive(Clone, Copy)]
pub struct Case {
    /// Name of the case in reports.
    pub name: &'static str,
    /// HTTP method.
    pub method: &'static str,
    /// Name of the request class in the plan.
    pub class: &'static str,
    /// Whether each request is for a different object instead of the same one.
    pub new_objects: bool,
    /// Whether each request opens a new connection.
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

/// Cases in which a shield or an origin server produces the response.
pub const SHIELD_CASES: [Case; 6] = [
    Case::read("shield's copy"),
    Case::read("shield's copy, new connection").with_new_connections(),
    Case { class: "large", ..Case::read("shield's copy of 120 kB") },
    Case { new_objects: true, ..Case::read("miss") },
    Case::write("write"),
    Case::write("write, new connection").with_new_connections(),
];

/// Cases in which an edge serves a stored response.
pub const EDGE_CASES: [Case; 2] =
    [Case::read("edge's copy"), Case::read("edge's copy, new connection").with_new_connections()];
