//! Parsing and validation of the pages.

use {
    super::{
        AdapterRow, Deployment, Pages, PopulationRow, Problem, Problems, Roster, RosterRow,
        ServiceRow, Table,
    },
    crate::AdapterRef,
    csv::{ReaderBuilder, StringRecord, Trim},
    std::{
        collections::HashMap,
        fmt::{self, Display, Formatter},
        str::FromStr,
        sync::Arc,
    },
};

const MAX_PAGE_BYTES: usize = 1 << 20;
const MAX_PRIORITY: u32 = 9;
const DEFAULT_LEASE_MS: u64 = 90_000;
const DEFAULT_OPAQUE_HORIZON_MS: u64 = 600_000;

/// Parses and validates all pages; collects every problem instead of stopping at the first.
pub(super) fn parse(version: u64, pages: &Pages) -> Result<Table, Problems> {
    let mut problems = Vec::new();
    check_page_names(pages, &mut problems);
    let mut table = Table {
        version,
        adapters: parse_adapters(pages, &mut problems),
        populations: parse_populations(pages, &mut problems),
        services: parse_services(pages, &mut problems),
        roster: parse_roster(pages, &mut problems),
        deployment: parse_deployment(pages, &mut problems),
        ..Table::default()
    };
    check_roster(&table, &mut problems);
    if !problems.is_empty() {
        return Err(Problems { problems });
    }
    table.build_indexes();
    Ok(table)
}

/// The location of a row.
#[derive(Clone, Debug)]
struct Location {
    page: Arc<str>,
    row: u64,
}

impl Display for Location {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "row {} of {}.csv", self.row, self.page)
    }
}

/// The rows of all pages of one kind, with the column index and the problems found so far.
struct Page<'a> {
    kind: &'static str,
    columns: HashMap<String, usize>,
    records: Vec<(Location, StringRecord)>,
    problems: &'a mut Vec<Problem>,
}

impl<'a> Page<'a> {
    /// Reads all pages of the kind `kind`.
    fn open(
        pages: &Pages,
        kind: &'static str,
        required: &[&str],
        optional: &[&str],
        problems: &'a mut Vec<Problem>,
    ) -> Self {
        let mut page = Self {
            kind,
            columns: HashMap::new(),
            records: Vec::new(),
            problems,
        };
        for (name, csv) in pages.of_kind(kind) {
            page.read(name, csv, required, optional);
        }
        page
    }

    fn read(&mut self, name: &Arc<str>, csv: &str, required: &[&str], optional: &[&str]) {
        let location = |row| Location {
            page: Arc::clone(name),
            row,
        };
        if csv.len() > MAX_PAGE_BYTES {
            let message = format!(
                "the page exceeds 1 MiB; split it into {}-1, {}-2 and so on",
                self.kind, self.kind
            );
            self.report(&location(0), "", &message);
            return;
        }
        let mut reader = ReaderBuilder::new()
            .trim(Trim::All)
            .from_reader(csv.as_bytes());
        let header = match reader.headers() {
            Ok(header) => header.clone(),
            Err(error) => {
                self.report(
                    &location(1),
                    "",
                    &format!("the header cannot be read: {error}"),
                );
                return;
            }
        };
        for (index, column) in header.iter().enumerate() {
            if !required.contains(&column) && !optional.contains(&column) {
                let known = [required, optional].concat().join(", ");
                self.report(
                    &location(1),
                    column,
                    &format!("unknown column; the columns are {known}"),
                );
            }
            self.columns.insert(column.to_owned(), index);
        }
        for column in required {
            if !self.columns.contains_key(*column) {
                self.report(
                    &location(1),
                    column,
                    "the column is missing; add it to the header",
                );
            }
        }
        for record in reader.records() {
            match record {
                Ok(record) => {
                    let row = record.position().map_or(0, csv::Position::line);
                    self.records.push((location(row), record));
                }
                Err(error) => {
                    let row = error.position().map_or(0, csv::Position::line);
                    let message = format!("the row cannot be read: {error}");
                    self.report(&location(row), "", &message);
                }
            }
        }
    }

    fn report(&mut self, location: &Location, column: &str, message: &str) {
        self.problems.push(Problem {
            page: location.page.to_string(),
            row: location.row,
            column: column.to_owned(),
            message: message.to_owned(),
        });
    }

    fn take_rows(&mut self) -> Vec<(Location, StringRecord)> {
        std::mem::take(&mut self.records)
    }

    fn cell<'r>(&self, record: &'r StringRecord, column: &str) -> &'r str {
        self.columns
            .get(column)
            .and_then(|&index| record.get(index))
            .unwrap_or("")
    }

    fn name(&mut self, location: &Location, record: &StringRecord, column: &str) -> Arc<str> {
        let cell = self.cell(record, column);
        let is_valid = !cell.is_empty()
            && cell
                .bytes()
                .all(|byte| byte.is_ascii_alphanumeric() || b"-_.:/".contains(&byte));
        if !is_valid {
            self.report(
                location,
                column,
                "a name is required, of letters, digits and -_.:/ only",
            );
        }
        cell.into()
    }

    fn flag(
        &mut self,
        location: &Location,
        record: &StringRecord,
        column: &str,
        default: bool,
    ) -> bool {
        match self.cell(record, column) {
            "yes" => true,
            "no" => false,
            "" => default,
            other => {
                let message = format!("`{other}` is neither yes nor no");
                self.report(location, column, &message);
                default
            }
        }
    }

    fn number<T>(
        &mut self,
        location: &Location,
        record: &StringRecord,
        column: &str,
        default: Option<T>,
        (min, max): (T, T),
    ) -> T
    where
        T: FromStr + PartialOrd + Copy + Display,
    {
        let cell = self.cell(record, column);
        if cell.is_empty()
            && let Some(default) = default
        {
            return default;
        }
        match cell.parse::<T>() {
            Ok(value) if value >= min && value <= max => value,
            _ => {
                let message = format!("`{cell}` is not a number from {min} to {max}");
                self.report(location, column, &message);
                min
            }
        }
    }

    fn key_hash(
        &mut self,
        location: &Location,
        record: &StringRecord,
        column: &str,
        is_required: bool,
    ) -> Option<[u8; 32]> {
        let cell = self.cell(record, column);
        if cell.is_empty() && !is_required {
            return None;
        }
        let hash = decode_hex(cell);
        if hash.is_none() {
            self.report(
                location,
                column,
                "a SHA-256 hash of 64 hexadecimal digits is required; publish hashes, never keys",
            );
        }
        hash
    }
}

fn decode_hex(text: &str) -> Option<[u8; 32]> {
    let mut hash = [0; 32];
    if text.len() != 64 || !text.is_ascii() {
        return None;
    }
    for (index, byte) in hash.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(hash)
}

fn check_page_names(pages: &Pages, problems: &mut Vec<Problem>) {
    for (name, _) in pages.iter() {
        if !Pages::KINDS.contains(&Pages::kind(name)) {
            problems.push(Problem {
                page: name.to_string(),
                row: 0,
                column: String::new(),
                message: format!("unknown page; the pages are {}", Pages::KINDS.join(", ")),
            });
        }
    }
    for name in ["adapters", "populations"] {
        if pages.of_kind(name).next().is_none() {
            problems.push(Problem {
                page: name.to_owned(),
                row: 0,
                column: String::new(),
                message: "the page is missing; publish it, even if only with its header".to_owned(),
            });
        }
    }
}

fn parse_adapters(pages: &Pages, problems: &mut Vec<Problem>) -> Vec<AdapterRow> {
    let mut page = Page::open(
        pages,
        "adapters",
        &["adapter", "version", "digest", "current"],
        &["enabled"],
        problems,
    );
    let mut rows = Vec::new();
    let mut models = HashMap::new();
    let mut current = HashMap::new();
    for (location, record) in page.take_rows() {
        let adapter = AdapterRef {
            name: page.name(&location, &record, "adapter"),
            version: page.name(&location, &record, "version"),
            digest: page.name(&location, &record, "digest"),
        };
        let is_current = page.flag(&location, &record, "current", false);
        if let Some(first) = models.insert(adapter.model(), location.clone()) {
            let message = format!("{first} has the same adapter and version; remove one of them");
            page.report(&location, "version", &message);
        }
        if is_current
            && let Some(first) = current.insert(Arc::clone(&adapter.name), location.clone())
        {
            let message = format!("{first} is also current for this adapter; choose one");
            page.report(&location, "current", &message);
        }
        rows.push(AdapterRow {
            adapter,
            is_current,
            enabled: page.flag(&location, &record, "enabled", true),
        });
    }
    rows
}

fn parse_populations(pages: &Pages, problems: &mut Vec<Problem>) -> Vec<PopulationRow> {
    let mut page = Page::open(
        pages,
        "populations",
        &[
            "population",
            "key_sha256",
            "share",
            "priority",
            "max_in_flight",
            "rate_per_s",
        ],
        &["next_key_sha256"],
        problems,
    );
    let mut rows = Vec::new();
    let mut names = HashMap::new();
    let mut keys = HashMap::new();
    for (location, record) in page.take_rows() {
        let name = page.name(&location, &record, "population");
        if let Some(first) = names.insert(Arc::clone(&name), location.clone()) {
            let message = format!("{first} has the same population; remove one of them");
            page.report(&location, "population", &message);
        }
        let key_sha256 = page
            .key_hash(&location, &record, "key_sha256", true)
            .unwrap_or_default();
        let next_key_sha256 = page.key_hash(&location, &record, "next_key_sha256", false);
        for hash in [Some(key_sha256), next_key_sha256].into_iter().flatten() {
            if let Some(first) = keys.insert(hash, location.clone()) {
                let message = format!("{first} has the same key; give each population its own key");
                page.report(&location, "key_sha256", &message);
            }
        }
        rows.push(PopulationRow {
            name,
            key_sha256,
            next_key_sha256,
            share: page.number(&location, &record, "share", None, (1, 1_000_000)),
            priority: page.number(&location, &record, "priority", None, (0, MAX_PRIORITY)),
            max_in_flight: page.number(&location, &record, "max_in_flight", None, (1, 1_000_000)),
            rate_per_s: page.number(&location, &record, "rate_per_s", None, (0.001, 1e9)),
        });
    }
    rows
}

fn parse_services(pages: &Pages, problems: &mut Vec<Problem>) -> Vec<ServiceRow> {
    let mut page = Page::open(
        pages,
        "services",
        &["service", "method", "path_prefix", "repeatable"],
        &[],
        problems,
    );
    let mut rows = Vec::new();
    let mut calls = HashMap::new();
    for (location, record) in page.take_rows() {
        let service = page.name(&location, &record, "service");
        let method: Arc<str> = page.cell(&record, "method").into();
        let path_prefix: Arc<str> = page.cell(&record, "path_prefix").into();
        if method.is_empty() {
            page.report(
                &location,
                "method",
                "an HTTP method is required, or * for any method",
            );
        }
        if !path_prefix.starts_with('/') {
            page.report(
                &location,
                "path_prefix",
                "a path that starts with / is required",
            );
        }
        let call = (
            Arc::clone(&service),
            Arc::clone(&method),
            Arc::clone(&path_prefix),
        );
        if let Some(first) = calls.insert(call, location.clone()) {
            let message = format!("{first} is for the same call; remove one of them");
            page.report(&location, "path_prefix", &message);
        }
        rows.push(ServiceRow {
            service,
            method,
            path_prefix,
            repeatable: page.flag(&location, &record, "repeatable", false),
        });
    }
    rows
}

fn parse_roster(pages: &Pages, problems: &mut Vec<Problem>) -> Roster {
    let mut page = Page::open(
        pages,
        "roster",
        &["service", "slot"],
        &["lease_ms", "opaque_horizon_ms"],
        problems,
    );
    let mut rows = Vec::new();
    let mut slots = HashMap::new();
    for (location, record) in page.take_rows() {
        let service = page.name(&location, &record, "service");
        let slot = page.name(&location, &record, "slot");
        if let Some(first) =
            slots.insert((Arc::clone(&service), Arc::clone(&slot)), location.clone())
        {
            let message = format!("{first} has the same slot; remove one of them");
            page.report(&location, "slot", &message);
        }
        rows.push(RosterRow {
            service,
            slot,
            lease_ms: page.number(
                &location,
                &record,
                "lease_ms",
                Some(DEFAULT_LEASE_MS),
                (1_000, 3_600_000),
            ),
            opaque_horizon_ms: page.number(
                &location,
                &record,
                "opaque_horizon_ms",
                Some(DEFAULT_OPAQUE_HORIZON_MS),
                (1_000, 604_800_000),
            ),
        });
    }
    Roster { rows }
}

fn check_roster(table: &Table, problems: &mut Vec<Problem>) {
    for service in table.services.iter().filter(|row| !row.repeatable) {
        let has_slot = |row: &RosterRow| row.service == service.service;
        if !table.roster.rows.iter().any(has_slot) {
            problems.push(Problem {
                page: "roster".to_owned(),
                row: 0,
                column: "service".to_owned(),
                message: format!(
                    "service `{}` has calls that are not repeatable but no slots; add its slots",
                    service.service
                ),
            });
        }
    }
}

fn parse_deployment(pages: &Pages, problems: &mut Vec<Problem>) -> Deployment {
    let mut page = Page::open(pages, "deployment", &["key", "value"], &[], problems);
    let mut deployment = Deployment::default();
    let mut keys = HashMap::new();
    for (location, record) in page.take_rows() {
        let key = page.cell(&record, "key").to_owned();
        if let Some(first) = keys.insert(key.clone(), location.clone()) {
            let message = format!("{first} has the same key; remove one of them");
            page.report(&location, "key", &message);
        }
        let weight = (0.0, 1_000.0);
        match key.as_str() {
            "stall_weight" => {
                deployment.stall_weight = page.number(&location, &record, "value", None, weight);
            }
            "batch_weight" => {
                deployment.batch_weight = page.number(&location, &record, "value", None, weight);
            }
            "loads_per_s" => {
                deployment.loads_per_s =
                    page.number(&location, &record, "value", None, (0.01, 1e6));
            }
            other => {
                let message = format!(
                    "unknown key `{other}`; the keys are stall_weight, batch_weight, loads_per_s"
                );
                page.report(&location, "key", &message);
            }
        }
    }
    deployment
}
