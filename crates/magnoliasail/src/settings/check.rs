//! Parsing and checking of settings files, with all problems of a kind reported together.

use {
    serde::{Serialize, de::DeserializeOwned},
    snafu::Snafu,
    toml::{Table, Value},
};

/// Largest edit distance at which an error message suggests a known key for an unknown one.
const MAX_EDIT_DISTANCE: usize = 4;

/// The problems of a settings file, displayed one per line.
#[derive(Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{}", problems.join("\n")))]
pub struct SettingsError {
    /// The problems, at least one, each with the name of the file and a remedy.
    pub problems: Vec<String>,
}

/// Parses the text of a settings file; the keys of the default value are the known keys.
///
/// `file` names the file in error messages.
///
/// # Errors
///
/// Returns a syntax error, all unknown keys, or the first value that does not fit its key.
pub(crate) fn parse<T>(text: &str, file: &str) -> Result<T, SettingsError>
where
    T: Default + Serialize + DeserializeOwned,
{
    let table: Table = text.parse().map_err(|error| {
        single_problem(format!(
            "{file}: the file is not valid TOML; correct the syntax: {error}"
        ))
    })?;
    let known = Table::try_from(T::default()).map_err(|error| {
        single_problem(format!(
            "{file}: the default settings cannot be serialized; report this as a bug: {error}"
        ))
    })?;
    let mut problems = Vec::new();
    find_unknown_keys(&table, &known, file, "", &mut problems);
    if !problems.is_empty() {
        return Err(SettingsError { problems });
    }
    table.try_into().map_err(|error| {
        single_problem(format!(
            "{file}: a value is invalid; correct it as docs/CONFIGURATION.md describes: {error}"
        ))
    })
}

pub(super) fn single_problem(problem: String) -> SettingsError {
    SettingsError {
        problems: vec![problem],
    }
}

fn find_unknown_keys(
    table: &Table,
    known: &Table,
    file: &str,
    prefix: &str,
    problems: &mut Vec<String>,
) {
    for (key, value) in table {
        let path = format!("{prefix}{key}");
        match (value, known.get(key)) {
            (_, None) => problems.push(unknown_key_problem(file, &path, key, known)),
            (Value::Table(inner), Some(Value::Table(known))) => {
                find_unknown_keys(inner, known, file, &format!("{path}."), problems);
            }
            _ => {}
        }
    }
}

fn unknown_key_problem(file: &str, path: &str, key: &str, known: &Table) -> String {
    let nearest = known
        .keys()
        .map(|name| (strsim::damerau_levenshtein(key, name), name))
        .min()
        .filter(|&(distance, _)| distance <= MAX_EDIT_DISTANCE);
    match nearest {
        Some((_, name)) => format!("{file}: unknown key `{path}`; did you mean `{name}`?"),
        None => format!("{file}: unknown key `{path}`; docs/CONFIGURATION.md lists the keys"),
    }
}

/// A check of parsed settings that collects values which are missing or out of range.
#[derive(Debug)]
pub(super) struct SettingsCheck<'a> {
    file: &'a str,
    problems: Vec<String>,
}

impl<'a> SettingsCheck<'a> {
    pub(super) const fn new(file: &'a str) -> Self {
        Self {
            file,
            problems: Vec::new(),
        }
    }

    pub(super) fn require_range(&mut self, key: &str, value: u64, min: u64, max: u64) {
        if value < min || value > max {
            let file = self.file;
            self.problems.push(format!(
                "{file}: `{key}` is {value}, which is out of range; \
                 set it to a value from {min} to {max}"
            ));
        }
    }

    pub(super) fn require_filled(&mut self, key: &str, value: &str) {
        if value.is_empty() {
            let file = self.file;
            self.problems
                .push(format!("{file}: `{key}` is missing or empty; set it"));
        }
    }

    pub(super) fn finish(self) -> Result<(), SettingsError> {
        if self.problems.is_empty() {
            return Ok(());
        }
        Err(SettingsError {
            problems: self.problems,
        })
    }
}
