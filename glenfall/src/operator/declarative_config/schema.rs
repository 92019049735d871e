//! The files of the configuration's items, and the fields that they may have. An unknown field in a file is an error, as
//! it is probably a spelling mistake; in JSON documents unknown fields are allowed.

/// A list of named items that are stored in one file each.
pub(super) struct ItemList {
    /// The name of the list in the document.
    pub section: &'static str,
    pub folder: &'static str,
    pub fields: &'static [&'static str],
}

/// A section of the document that is stored in one file.
pub(super) struct SingleItem {
    /// The name of the section in the document.
    pub section: &'static str,
    pub file: &'static str,
    pub fields: &'static [&'static str],
}

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
