//! Definition of every section and field of a fleet file, with unit, range and default.
//!
//! The parser, its error texts and `docs/CONFIGURATION.md` are derived from these tables.

use std::fmt;

/// Type and range of a field.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// An integer in an inclusive range.
    Integer {
        /// Smallest allowed value.
        low: u64,
        /// Largest allowed value.
        high: u64,
    },
    /// `true` or `false`.
    Boolean,
    /// The id of a declaration, such as a pool, in any file of the fleet.
    Id,
    /// An array of key hashes of 64 hexadecimal digits each.
    KeyHashes,
    /// A percentage above 0 and below 100, with up to four decimals.
    Percent,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Kind::Integer { low, high } => write!(f, "{low} to {high}"),
            Kind::Boolean => f.write_str("true or false"),
            Kind::Id => f.write_str("an id"),
            Kind::KeyHashes => f.write_str("hashes of 64 hexadecimal digits"),
            Kind::Percent => f.write_str("above 0, below 100"),
        }
    }
}

/// Definition of a field.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Field {
    /// Name of the field in the file.
    pub name: &'static str,
    /// Type and range of the value.
    pub kind: Kind,
    /// Unit of the value, such as `ms` or `instances`; empty if it has none.
    pub unit: &'static str,
    /// Default as TOML text; `None` if the field is required.
    pub default: Option<&'static str>,
    /// Description for operators, one sentence.
    pub about: &'static str,
}

/// Definition of a section, such as `[team.ID]`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Section {
    /// Name of the section in the file.
    pub name: &'static str,
    /// Definitions of the fields, in the order of the documentation.
    pub fields: &'static [Field],
}

/// Fields of `[team.ID]`.
pub const TEAM: Section = Section {
    name: "team",
    fields: &[
        Field {
            name: "share",
            kind: Kind::Integer {
                low: 1,
                high: 1_000_000,
            },
            unit: "weight",
            default: None,
            about: "What the team is owed when everything is full, relative to the other teams.",
        },
        Field {
            name: "limit",
            kind: Kind::Integer {
                low: 0,
                high: 1_000_000,
            },
            unit: "requests and jobs",
            default: None,
            about: "The most that the team has running at once over the whole fleet.",
        },
        Field {
            name: "keys",
            kind: Kind::KeyHashes,
            unit: "hashes",
            default: Some("[]"),
            about: "Hashes of the keys that the team may show, as `pomelohitch keys new` prints them.",
        },
    ],
};

/// Fields of `[pool.ID]`.
pub const POOL: Section = Section {
    name: "pool",
    fields: &[
        Field {
            name: "spare",
            kind: Kind::Boolean,
            unit: "",
            default: Some("false"),
            about: "Whether its instances are the first to be lent to other pools.",
        },
        Field {
            name: "floor",
            kind: Kind::Integer {
                low: 0,
                high: 100_000,
            },
            unit: "instances",
            default: Some("0"),
            about: "How many of its instances stay in it whatever other pools ask for.",
        },
    ],
};

/// Fields of `[service.ID]`.
pub const SERVICE: Section = Section {
    name: "service",
    fields: &[
        Field {
            name: "pool",
            kind: Kind::Id,
            unit: "",
            default: None,
            about: "The pool whose instances are its runners.",
        },
        Field {
            name: "min_available",
            kind: Kind::Integer {
                low: 0,
                high: 100_000,
            },
            unit: "instances",
            default: None,
            about: "Availability budget: at least so many instances of the pool stay active.",
        },
        Field {
            name: "slots",
            kind: Kind::Integer {
                low: 1,
                high: 10_000,
            },
            unit: "requests",
            default: Some("8"),
            about: "How many requests one runner runs at once.",
        },
        Field {
            name: "connections",
            kind: Kind::Integer {
                low: 1,
                high: 100_000,
            },
            unit: "connections",
            default: Some("64"),
            about: "How many connections one runner accepts.",
        },
        Field {
            name: "timeout_ms",
            kind: Kind::Integer {
                low: 1,
                high: 3_600_000,
            },
            unit: "ms",
            default: Some("10000"),
            about: "How long a request may wait and run when the caller states no timeout.",
        },
        Field {
            name: "longest_run_ms",
            kind: Kind::Integer {
                low: 1,
                high: 86_400_000,
            },
            unit: "ms",
            default: Some("60000"),
            about: "After this a request that was sent is certainly not running any more.",
        },
        Field {
            name: "queue",
            kind: Kind::Integer {
                low: 0,
                high: 100_000,
            },
            unit: "requests",
            default: Some("200"),
            about: "How many requests wait at one entry instance at the most.",
        },
    ],
};

/// Fields of `[service.ID.objective]`.
pub const OBJECTIVE: Section = Section {
    name: "objective",
    fields: &[
        Field {
            name: "within_ms",
            kind: Kind::Integer {
                low: 1,
                high: 3_600_000,
            },
            unit: "ms",
            default: None,
            about: "An answer later than this counts as bad.",
        },
        Field {
            name: "good_percent",
            kind: Kind::Percent,
            unit: "percent",
            default: None,
            about: "The share of requests that the service means to answer in time.",
        },
        Field {
            name: "window_days",
            kind: Kind::Integer { low: 1, high: 90 },
            unit: "days",
            default: Some("28"),
            about: "Over how long the objective is counted.",
        },
    ],
};

/// The top-level sections of a file; the objective is a subtable of a service.
pub const SECTIONS: &[Section] = &[TEAM, POOL, SERVICE];

impl Section {
    /// Looks up the field called `name`; `None` if the section has no such field.
    #[must_use]
    pub fn field(&self, name: &str) -> Option<&'static Field> {
        self.fields.iter().find(|field| field.name == name)
    }

    /// The names of all fields, joined by commas for error messages.
    #[must_use]
    pub fn field_names(&self) -> String {
        let names: Vec<_> = self.fields.iter().map(|field| field.name).collect();
        names.join(", ")
    }
}
