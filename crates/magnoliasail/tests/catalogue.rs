//! The pages for operators name every event and every key that the code has.

use {
    magnoliasail::{AgentFile, EntryFile, EventId, LinkSection},
    serde::Serialize,
    std::{collections::BTreeSet, fs},
    strum::IntoEnumIterator,
};

fn page(name: &str) -> String {
    let path = format!("{}/../../docs/{name}", env!("CARGO_MANIFEST_DIR"));
    fs::read_to_string(&path).expect("the page exists")
}

/// Returns the first two cells of each row of a page's tables.
fn rows(text: &str) -> BTreeSet<(String, String)> {
    text.lines()
        .filter_map(|line| {
            let mut cells = line.strip_prefix("| ")?.split(" | ");
            Some((cells.next()?.to_owned(), cells.next()?.to_owned()))
        })
        .collect()
}

#[test]
fn the_catalogue_lists_exactly_the_events_that_are_logged() {
    let listed: BTreeSet<(String, String)> = rows(&page("EVENTS.md"))
        .into_iter()
        .filter(|(number, _)| number.parse::<u16>().is_ok())
        .collect();
    let logged: BTreeSet<(String, String)> = EventId::iter()
        .map(|event| (event.number().to_string(), format!("`{event}`")))
        .collect();
    assert_eq!(listed, logged);
}

fn keys<T: Default + Serialize>(prefix: &str) -> Vec<String> {
    let table = toml::Table::try_from(T::default()).expect("settings can be written");
    table
        .iter()
        .filter(|(_, value)| !value.is_table())
        .map(|(key, _)| format!("`{prefix}{key}`"))
        .collect()
}

#[test]
fn the_configuration_page_lists_every_key_of_the_settings() {
    let listed: BTreeSet<String> = rows(&page("CONFIGURATION.md"))
        .into_iter()
        .map(|(key, _)| key)
        .collect();
    let known = [
        keys::<EntryFile>(""),
        keys::<AgentFile>(""),
        keys::<LinkSection>("link."),
    ];
    for key in known.concat() {
        assert!(listed.contains(&key), "{key} is not documented");
    }
}
