//! Parses one fleet file into checked values, or reports all of its faults.

use std::collections::BTreeMap;
use std::time::Duration;

use pomelohitch_core::FleetFile;
use pomelohitch_core::config::{Objective, Pool, Service, Team};
use pomelohitch_core::id::FilePath;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::fault::{Fault, line_at};
use crate::spec::{OBJECTIVE, POOL, SECTIONS, SERVICE, Section, TEAM};

mod values;

use values::Values;

/// Result of parsing a file: a value, or all faults of the file.
pub type Result<T, E = Vec<Fault>> = std::result::Result<T, E>;

/// Maximum length of an id, in bytes.
const MAX_ID_BYTES: usize = 63;
/// Name of the subtable of a service that holds its objective.
const OBJECTIVE_TABLE: &str = "objective";
const SECONDS_PER_DAY: u64 = 86_400;

/// A declaration or a reference to a pool, by which the line that holds it is looked up.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Declaration {
    /// `team`, `pool`, `service`, `key`, or `pool of service` for a reference to a pool.
    pub kind: Box<str>,
    /// The declared id; for a reference to a pool, the id of the service that holds it.
    pub id: Box<str>,
}

impl Declaration {
    /// Creates the declaration of the given `kind` and `id`.
    #[must_use]
    pub fn new(kind: &str, id: &str) -> Declaration {
        Declaration {
            kind: kind.into(),
            id: id.into(),
        }
    }
}

/// A parsed file that has no faults of its own. Rules that span files are not checked yet.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Parsed {
    /// The parsed values.
    pub file: FleetFile,
    /// Line number of each declaration and each reference to a pool, counted from 1.
    pub lines: BTreeMap<Declaration, usize>,
}

/// Parses `text`, the content of the file at `path`.
///
/// # Errors
/// All faults of the file, sorted by line.
pub fn parse(path: &str, text: &str) -> Result<Parsed> {
    let (document, errors) = DeTable::parse_recoverable(text);
    let mut parser = Parser {
        path: path.into(),
        text,
        faults: Vec::new(),
        parsed: Parsed::default(),
    };
    for error in &errors {
        let at = error.span().map_or(0, |span| span.start);
        parser.add_fault(at, error.message(), syntax_fix(error.message()));
    }
    parser.parse_document(document.get_ref());
    parser.faults.sort();
    if parser.faults.is_empty() {
        Ok(parser.parsed)
    } else {
        Err(parser.faults)
    }
}

type Table<'i> = DeTable<'i>;

struct Parser<'a> {
    path: FilePath,
    text: &'a str,
    faults: Vec<Fault>,
    parsed: Parsed,
}

impl Parser<'_> {
    fn add_fault(&mut self, at: usize, what: impl Into<Box<str>>, fix: impl Into<Box<str>>) {
        self.faults.push(Fault {
            path: self.path.clone(),
            line: line_at(self.text, at),
            what: what.into(),
            fix: fix.into(),
        });
    }

    fn declare(&mut self, kind: &str, id: &str, at: usize) {
        let line = line_at(self.text, at);
        self.parsed.lines.insert(Declaration::new(kind, id), line);
    }

    fn parse_document(&mut self, document: &Table<'_>) {
        for (name, value) in document {
            let section = SECTIONS.iter().find(|s| s.name == name.get_ref().as_ref());
            match (section, value.get_ref().as_table()) {
                (Some(section), Some(items)) => self.parse_section(section, items),
                (Some(section), None) => {
                    let name = section.name;
                    self.add_fault(
                        value_start(value),
                        format!("'{name}' holds no tables"),
                        format!("write [{name}.ID]"),
                    );
                }
                (None, _) => {
                    let known: Vec<_> = SECTIONS.iter().map(|s| s.name).collect();
                    self.add_fault(
                        name.span().start,
                        format!("unknown section '{}'", name.get_ref()),
                        format!("sections are {}", known.join(", ")),
                    );
                }
            }
        }
    }

    fn parse_section(&mut self, section: &Section, items: &Table<'_>) {
        for (id, value) in items {
            let at = id.span().start;
            let name = section.name;
            let id: &str = id.get_ref();
            if !is_id(id) {
                self.add_fault(
                    at,
                    format!("'{id}' can't be the id of a {name}"),
                    format!("use 1 to {MAX_ID_BYTES} letters, digits, '-' or '_'"),
                );
            }
            let Some(fields) = value.get_ref().as_table() else {
                self.add_fault(
                    at,
                    format!("'{name}.{id}' isn't a table"),
                    format!("write [{name}.{id}] and its fields below"),
                );
                continue;
            };
            self.declare(name, id, at);
            match name {
                "team" => self.parse_team(id, at, fields),
                "pool" => self.parse_pool(id, at, fields),
                _ => self.parse_service(id, at, fields),
            }
        }
    }

    fn parse_team(&mut self, id: &str, at: usize, fields: &Table<'_>) {
        let values = self.parse_fields(&TEAM, id, at, fields, &[]);
        for (key, at) in values.keys("keys") {
            if self
                .parsed
                .lines
                .contains_key(&Declaration::new("key", &key))
            {
                self.add_fault(
                    at,
                    "the same key hash stands twice",
                    "remove one of the two",
                );
            }
            self.declare("key", &key, at);
        }
        self.parsed.file.teams.push(Team {
            id: id.into(),
            share: values.integer("share"),
            limit: values.integer("limit"),
            keys: values.keys("keys").map(|(key, _)| key).collect(),
        });
    }

    fn parse_pool(&mut self, id: &str, at: usize, fields: &Table<'_>) {
        let values = self.parse_fields(&POOL, id, at, fields, &[]);
        self.parsed.file.pools.push(Pool {
            id: id.into(),
            spare: values.boolean("spare"),
            floor: values.integer("floor"),
        });
    }

    fn parse_service(&mut self, id: &str, at: usize, fields: &Table<'_>) {
        let values = self.parse_fields(&SERVICE, id, at, fields, &[OBJECTIVE_TABLE]);
        if let Some(pool_at) = values.at("pool") {
            self.declare("pool of service", id, pool_at);
        }
        let objective = fields
            .get(OBJECTIVE_TABLE)
            .and_then(|value| self.parse_objective(id, value));
        self.parsed.file.services.push(Service {
            id: id.into(),
            pool: values.text("pool"),
            min_available: values.integer("min_available"),
            slots: values.integer("slots"),
            connections: values.integer("connections"),
            timeout: values.millis("timeout_ms"),
            longest_run: values.millis("longest_run_ms"),
            queue: values.integer("queue"),
            objective,
        });
    }

    fn parse_objective(
        &mut self,
        service: &str,
        value: &Spanned<DeValue<'_>>,
    ) -> Option<Objective> {
        let at = value_start(value);
        let Some(fields) = value.get_ref().as_table() else {
            self.add_fault(
                at,
                format!("the objective of '{service}' isn't a table"),
                format!("write [service.{service}.objective]"),
            );
            return None;
        };
        let values = self.parse_fields(&OBJECTIVE, service, at, fields, &[]);
        let days = u64::from(values.integer("window_days"));
        Some(Objective {
            within: values.millis("within_ms"),
            good_ppm: values.ppm("good_percent"),
            window: Duration::from_secs(days * SECONDS_PER_DAY),
        })
    }

    /// Checks the fields of one table against `section` and fills in defaults. Subtables named in
    /// `tables` are skipped: the caller parses them.
    fn parse_fields(
        &mut self,
        section: &Section,
        id: &str,
        at: usize,
        fields: &Table<'_>,
        tables: &[&str],
    ) -> Values {
        let mut values = Values::default();
        for (name, value) in fields {
            let (name, name_at) = (name.get_ref().as_ref(), name.span().start);
            if tables.contains(&name) {
                continue;
            }
            let Some(field) = section.field(name) else {
                self.add_fault(
                    name_at,
                    format!("unknown field '{name}' of {} '{id}'", section.name),
                    format!("fields are {}", section.field_names()),
                );
                continue;
            };
            if let Err(invalid) = values.set(field, value) {
                self.add_fault(
                    invalid.at.unwrap_or(name_at),
                    format!("{name} = {} of {} '{id}'", invalid.display, section.name),
                    format!("give {}", field.kind),
                );
            }
        }
        for field in section.fields {
            let is_given = fields.keys().any(|name| name.get_ref() == field.name);
            match field.default {
                _ if is_given => {}
                Some(default) => values.set_default(field, default),
                None => self.add_fault(
                    at,
                    format!("{} '{id}' has no {}", section.name, field.name),
                    format!("add {} = ... ({})", field.name, field.kind),
                ),
            }
        }
        values
    }
}

fn syntax_fix(message: &str) -> &'static str {
    if message.starts_with("duplicate key") {
        "remove or rename one of the two"
    } else {
        "write it as TOML"
    }
}

fn value_start(value: &Spanned<DeValue<'_>>) -> usize {
    value.span().start
}

fn is_id(id: &str) -> bool {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
    !id.is_empty() && id.len() <= MAX_ID_BYTES && id.bytes().all(is_allowed)
}
