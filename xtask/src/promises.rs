//! Checks that the tests and modules that docs/PROMISES.md names exist.
//!
//! In each table of the page, the columns with the headings `mechanism (module)` and `tests` hold names in
//! backquotes. A name of a test is that of a function or of a file with tests; a name of a module is
//! that of a file, a function or a type.

use std::{
    collections::HashSet,
    fs, io,
    path::{Path, PathBuf},
    process::ExitCode,
};

const PAGE: &str = "docs/PROMISES.md";
/// Folders with source files, below the root of the repository.
const SOURCE_FOLDERS: [&str; 3] = ["crates", "platform", "xtask"];
const TESTS_HEADING: &str = "tests";
const MECHANISM_HEADING: &str = "mechanism (module)";

/// Names that the source files define.
#[derive(Debug, Default)]
struct Definitions {
    /// Names of files with tests, and of functions in them.
    tests: HashSet<String>,
    /// Names of files, functions, types, variants, fields and constants.
    all: HashSet<String>,
}

/// Prints the names on the page that nothing defines; fails if there are any, or if the page or a source
/// file cannot be read.
pub(crate) fn run() -> ExitCode {
    println!("xtask: promises");
    match undefined_names() {
        Ok(undefined) if undefined.is_empty() => ExitCode::SUCCESS,
        Ok(undefined) => {
            for name in undefined {
                eprintln!("xtask: {PAGE} names `{name}`, which does not exist; correct the page");
            }
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("xtask: {PAGE} cannot be checked: {error}");
            ExitCode::FAILURE
        }
    }
}

fn undefined_names() -> io::Result<Vec<String>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"))
        .parent()
        .unwrap_or(Path::new("."));
    let page = fs::read_to_string(root.join(PAGE))?;
    let mut definitions = Definitions::default();
    for folder in SOURCE_FOLDERS {
        definitions.read_folder(&root.join(folder))?;
    }
    Ok(undefined_in(&page, &definitions))
}

/// Returns the names in the tables of a page that nothing defines.
fn undefined_in(page: &str, definitions: &Definitions) -> Vec<String> {
    let mut undefined = Vec::new();
    let mut headings: Vec<&str> = Vec::new();
    for line in page.lines() {
        let Some(row) = line.strip_prefix('|') else {
            headings.clear();
            continue;
        };
        let cells: Vec<&str> = row.split('|').map(str::trim).collect();
        if headings.is_empty() {
            headings = cells;
            continue;
        }
        for (heading, cell) in headings.iter().zip(cells) {
            let known = match *heading {
                TESTS_HEADING => &definitions.tests,
                MECHANISM_HEADING => &definitions.all,
                _ => continue,
            };
            undefined.extend(
                names_in(cell)
                    .filter(|name| !known.contains(*name))
                    .map(str::to_owned),
            );
        }
    }
    undefined
}

/// Returns the last segments of the paths in backquotes, without their arguments.
fn names_in(cell: &str) -> impl Iterator<Item = &str> {
    let quoted = cell.split('`').skip(1).step_by(2);
    quoted
        .filter(|text| !text.contains(['/', ' ', '=', '.', '-']))
        .map(|text| text.rsplit("::").next().unwrap_or(text))
        .map(|name| name.trim_end_matches("()"))
}

impl Definitions {
    fn read_folder(&mut self, folder: &Path) -> io::Result<()> {
        for entry in fs::read_dir(folder)? {
            let path = entry?.path();
            if path.is_dir() {
                self.read_folder(&path)?;
            } else if path.extension().is_some_and(|extension| extension == "rs") {
                self.read_file(&path)?;
            }
        }
        Ok(())
    }

    fn read_file(&mut self, path: &PathBuf) -> io::Result<()> {
        let text = fs::read_to_string(path)?;
        let words = text.split(|char: char| !char.is_alphanumeric() && char != '_');
        let mut names: HashSet<String> = words.map(str::to_owned).collect();
        let file_name = path.file_stem().and_then(|name| name.to_str());
        names.extend(file_name.map(str::to_owned));
        let is_test = path.components().any(|part| part.as_os_str() == "tests");
        if is_test {
            let functions = text.lines().filter_map(function_name);
            self.tests.extend(functions.map(str::to_owned));
            self.tests.extend(file_name.map(str::to_owned));
            let folder = path.parent().and_then(Path::file_name);
            self.tests
                .extend(folder.and_then(|name| name.to_str()).map(str::to_owned));
            // Checks and mutations of the random histories are variants of enums.
            self.tests
                .extend(names.iter().filter(|name| starts_upper(name)).cloned());
        }
        self.all.extend(names);
        Ok(())
    }
}

/// Returns the name of the function that a line declares.
fn function_name(line: &str) -> Option<&str> {
    let line = line.trim_start();
    let rest = line
        .strip_prefix("fn ")
        .or_else(|| line.strip_prefix("async fn "))?;
    rest.split('(').next()
}

fn starts_upper(name: &str) -> bool {
    name.starts_with(|char: char| char.is_ascii_uppercase())
}
