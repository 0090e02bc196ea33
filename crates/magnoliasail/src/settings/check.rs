//! Reading of a settings file, with every problem reported at once.

use {
    serde::{Serialize, de::DeserializeOwned},
    snafu::Snafu,
    toml::{Table, Value},
};

const MAX_DISTANCE: usize = 4;

/// What is wrong with a settings file.
#[derive(Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{}", problems.join("\n")))]
pub struct SettingsError {
    /// The problems, at least one.
    pub problems: Vec<String>,
}

/// Parses a file into settings whose defaults show which keys are known.
pub(crate) fn parse<T>(text: &str, file: &str) -> Result<T, SettingsError>
where
    T: Default + Serialize + DeserializeOwned,
{
    let table: Table = text
        .parse()
        .map_err(|error| one(format!("{file}: not valid TOML: {error}")))?;
    let known = Table::try_from(T::default())
        .map_err(|error| one(format!("{file}: defaults cannot be written: {error}")))?;
    let mut problems = Vec::new();
    find_unknown(&table, &known, file, "", &mut problems);
    if !problems.is_empty() {
        return Err(SettingsError { problems });
    }
    table
        .try_into()
        .map_err(|error| one(format!("{file}: {error}; see docs/CONFIGURATION.md")))
}

pub(super) fn one(problem: String) -> SettingsError {
    SettingsError {
        problems: vec![problem],
    }
}

fn find_unknown(
    table: &Table,
    known: &Table,
    file: &str,
    prefix: &str,
    problems: &mut Vec<String>,
) {
    for (key, value) in table {
        let path = format!("{prefix}{key}");
        match (value, known.get(key)) {
            (_, None) => problems.push(unknown(file, &path, key, known)),
            (Value::Table(inner), Some(Value::Table(known))) => {
                find_unknown(inner, known, file, &format!("{path}."), problems);
            }
            _ => {}
        }
    }
}

fn unknown(file: &str, path: &str, key: &str, known: &Table) -> String {
    let nearest = known
        .keys()
        .map(|name| (strsim::damerau_levenshtein(key, name), name))
        .min()
        .filter(|&(distance, _)| distance <= MAX_DISTANCE);
    match nearest {
        Some((_, name)) => format!("{file}: unknown key `{path}`; did you mean `{name}`?"),
        None => format!("{file}: unknown key `{path}`; see docs/CONFIGURATION.md"),
    }
}

/// Collects problems of values that are out of range.
#[derive(Debug)]
pub(super) struct Ranges<'a> {
    file: &'a str,
    problems: Vec<String>,
}

impl<'a> Ranges<'a> {
    pub(super) const fn new(file: &'a str) -> Self {
        Self {
            file,
            problems: Vec::new(),
        }
    }

    pub(super) fn between(&mut self, key: &str, value: u64, min: u64, max: u64) {
        if value < min || value > max {
            let file = self.file;
            self.problems.push(format!(
                "{file}: `{key}` is {value}; set it from {min} to {max}"
            ));
        }
    }

    pub(super) fn filled(&mut self, key: &str, value: &str) {
        if value.is_empty() {
            let file = self.file;
            self.problems
                .push(format!("{file}: `{key}` is missing; set it"));
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
