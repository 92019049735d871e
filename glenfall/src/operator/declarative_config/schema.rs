//! Where items of the configuration lie in files, and the fields that they may have. An unknown field is an error here,
//! although JSON documents may have some: in a file that people write it is a spelling mistake.

/// A list of named items, of which each is a file.
pub(super) struct ItemList {
    /// The name of the list in the document.
    pub section: &'static str,
    pub folder: &'static str,
    pub fields: &'static [&'static str],
}

/// A section of the document that is one file.
pub(super) struct SingleItem {
    /// The name of the section in the document.
    pub section: &'static str,
    pub file: &'static str,
    pub fields: &'static [&'static str],
}

/// The routes.
pub(super) const ROUTE_LIST: ItemList = ItemList {
    section: "paths",
    folder: "routes",
    fields: &[
        "name",
        "hostname",
        "pathPrefix",
        "type",
        "deadlineMs",
        "targetMs",
        "prio",
        "backend",
        "split",
        "tries",
        "maxAgeS",
    ],
};

/// The services.
pub(super) const SERVICE_LIST: ItemList = ItemList {
    section: "backends",
    folder: "services",
    fields: &["name", "healthPath", "maxConns", "protocol", "useTls", "ratePerS"],
};

/// The limits for clients' requests.
pub(super) const LIMITS_FILE: SingleItem = SingleItem {
    section: "reqLimits",
    file: "limits.toml",
    fields: &["maxHeaderBytes", "maxBodyBytes", "headerTimeoutMs", "idleTimeoutMs"],
};
