//! The command `check`: validates settings files and the CSV pages of a table before they are used.

use {
    super::{read_file, report_usage_error},
    crate::settings::{AgentFile, EntryFile, SettingsError},
    bpaf::Bpaf,
    magnoliasail_core::table::{Pages, Table},
    std::{
        fs,
        path::{Path, PathBuf},
        process::ExitCode,
    },
};

/// What to check
#[derive(Clone, Debug, Bpaf)]
pub enum CheckCommand {
    /// Checks the settings of an entry or an agent
    #[bpaf(command)]
    Settings {
        /// Settings file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Checks the CSV pages of a table
    #[bpaf(command)]
    Table {
        /// Directory that holds the pages
        #[bpaf(positional("DIR"))]
        directory: PathBuf,
    },
}

impl CheckCommand {
    pub(super) fn run(self) -> ExitCode {
        let result = match self {
            Self::Settings { file } => check_settings(&file),
            Self::Table { directory } => check_table(&directory),
        };
        match result {
            Ok(summary) => {
                println!("{summary}");
                ExitCode::SUCCESS
            }
            Err(problems) => report_usage_error(problems),
        }
    }
}

fn check_settings(path: &Path) -> Result<String, String> {
    let text = read_file(path)?;
    let file = path.display().to_string();
    let to_text = |error: SettingsError| error.to_string();
    // Only the settings of an agent have the key `server_url`.
    let is_agent = text
        .parse::<toml::Table>()
        .is_ok_and(|table| table.contains_key("server_url"));
    if is_agent {
        let settings = AgentFile::parse(&text, &file).map_err(to_text)?;
        settings.check(&file).map_err(to_text)?;
        return Ok(format!("{file}: the settings of an agent are valid"));
    }
    let settings = EntryFile::parse(&text, &file).map_err(to_text)?;
    settings.check(&file).map_err(to_text)?;
    Ok(format!("{file}: the settings of an entry are valid"))
}

fn check_table(directory: &Path) -> Result<String, String> {
    let pages = read_pages(directory)?;
    match Table::parse(1, &pages) {
        Ok(table) => Ok(format!(
            "{}: valid; {} adapter version(s), {} population(s), {} service call(s), {} slot(s)",
            directory.display(),
            table.adapters.len(),
            table.populations.len(),
            table.services.len(),
            table.roster.rows.len(),
        )),
        Err(error) => {
            let lines: Vec<String> = error.problems.iter().map(ToString::to_string).collect();
            Err(lines.join("\n"))
        }
    }
}

/// Reads every `.csv` file of a directory as a page named after the file.
pub(super) fn read_pages(directory: &Path) -> Result<Pages, String> {
    let unreadable = |error| {
        format!(
            "{} cannot be read: {error}; check the path",
            directory.display()
        )
    };
    let mut pages = Pages::default();
    for entry in fs::read_dir(directory).map_err(unreadable)? {
        let path = entry.map_err(unreadable)?.path();
        if path.extension().is_some_and(|extension| extension == "csv") {
            let name = path.file_stem().unwrap_or_default().to_string_lossy();
            pages.insert(&*name, read_file(&path)?);
        }
    }
    Ok(pages)
}
