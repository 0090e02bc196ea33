//! Compares the operators' pages with the code: the catalogue of events and the settings keys.

use {
    magnoliasail::{AgentFile, EntryFile, EventId, LinkSection},
    serde::Serialize,
    std::{collections::BTreeSet, fs},
    strum::IntoEnumIterator,
};

fn read_page(name: &str) -> String {
    let path = format!("{}/../../docs/{name}", env!("CARGO_MANIFEST_DIR"));
    fs::read_to_string(&path).expect("the page exists")
}

/// Returns the first two cells of each row of the tables in a Markdown page.
fn table_rows(text: &str) -> BTreeSet<(String, String)> {
    text.lines()
        .filter_map(|line| {
            let mut cells = line.strip_prefix("| ")?.split(" | ");
            Some((cells.next()?.to_owned(), cells.next()?.to_owned()))
        })
        .collect()
}

#[test]
fn event_catalogue_lists_exactly_the_events_in_the_code() {
    let documented: BTreeSet<(String, String)> = table_rows(&read_page("EVENTS.md"))
        .into_iter()
        .filter(|(number, _)| number.parse::<u16>().is_ok())
        .collect();
    let defined: BTreeSet<(String, String)> = EventId::iter()
        .map(|event| (event.number().to_string(), format!("`{event}`")))
        .collect();
    assert_eq!(documented, defined);
}

/// Returns the keys of a settings type, without its sections, each quoted as in the page.
fn quoted_keys<T: Default + Serialize>(prefix: &str) -> Vec<String> {
    let table = toml::Table::try_from(T::default()).expect("the settings serialize to TOML");
    table
        .iter()
        .filter(|(_, value)| !value.is_table())
        .map(|(key, _)| format!("`{prefix}{key}`"))
        .collect()
}

#[test]
fn configuration_page_lists_every_settings_key() {
    let documented: BTreeSet<String> = table_rows(&read_page("CONFIGURATION.md"))
        .into_iter()
        .map(|(key, _)| key)
        .collect();
    let settings_keys = [
        quoted_keys::<EntryFile>(""),
        quoted_keys::<AgentFile>(""),
        quoted_keys::<LinkSection>("link."),
    ];
    for key in settings_keys.concat() {
        assert!(documented.contains(&key), "{key} is not documented");
    }
}
