//! Typed access to INI sections that collects findings instead of stopping at the first.

use ini::{Ini, ParseOption, Properties};
use sniperelay_core::finding::{FindingList, FindingLocation};
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::str::FromStr;
use std::time::Duration;

/// Result of parsing an INI text.
pub type Result<T> = std::result::Result<T, FindingList>;

/// Maximum size of an INI text, in bytes.
pub const MAX_TEXT_BYTES: usize = 256 * 1024;
/// Maximum edit distance at which a known name is suggested in place of an unknown one.
const MAX_SUGGESTION_DISTANCE: usize = 3;

/// A parsed INI text with the line numbers of its sections and keys.
#[derive(Debug)]
pub struct IniSource {
    file: String,
    ini: Ini,
    /// Line numbers by section and key. The entry with an empty key is the line of the section itself.
    lines: HashMap<(String, String), usize>,
    findings: RefCell<FindingList>,
}

impl IniSource {
    /// Parses `text`; `file` is the file name used in findings.
    ///
    /// # Errors
    ///
    /// Returns a finding with the line of a syntax error, or a finding that the text is too large.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        let mut findings = FindingList::default();
        if text.len() > MAX_TEXT_BYTES {
            let location = FindingLocation { file: file.to_owned(), ..FindingLocation::default() };
            findings.push(location, format!("text is larger than {MAX_TEXT_BYTES} bytes"));
            return Err(findings);
        }
        let options = ParseOption { enabled_quote: false, enabled_escape: false, ..ParseOption::default() };
        match Ini::load_from_str_opt(text, options) {
            Ok(ini) => {
                let source = Self {
                    file: file.to_owned(),
                    ini,
                    lines: index_lines(text),
                    findings: RefCell::default(),
                };
                source.check_structure();
                Ok(source)
            }
            Err(error) => {
                let location =
                    FindingLocation { file: file.to_owned(), line: error.line, ..FindingLocation::default() };
                findings.push(location, error.msg.to_string());
                Err(findings)
            }
        }
    }

    /// Returns the section names in the order of the text.
    pub fn section_names(&self) -> Vec<String> {
        self.ini.iter().filter_map(|(name, _)| name.map(str::to_owned)).collect()
    }

    /// Returns a reader for one section; a missing section is treated as empty.
    pub fn section(&self, name: &str) -> SectionReader<'_> {
        let properties = self.ini.section(Some(name));
        SectionReader { source: self, name: name.to_owned(), properties, requested_keys: RefCell::default() }
    }

    /// Returns the location of a key, or of the section if `key` is empty. For a key that does not
    /// occur in the text, the line is that of the section.
    pub fn location(&self, section: &str, key: &str) -> FindingLocation {
        let line = |key: &str| self.lines.get(&(section.to_owned(), key.to_owned())).copied();
        let line = line(key).or_else(|| line("")).unwrap_or(0);
        FindingLocation { file: self.file.clone(), line, section: section.to_owned(), key: key.to_owned() }
    }

    /// Adds a finding.
    pub fn report(&self, section: &str, key: &str, message: impl Into<String>) {
        self.findings.borrow_mut().push(self.location(section, key), message);
    }

    /// Reports sections whose names are not in `known` and do not start with `prefix`.
    pub fn check_sections(&self, known: &[&str], prefix: Option<&str>) {
        for name in self.section_names() {
            let has_prefix = prefix.is_some_and(|prefix| name.starts_with(prefix));
            if !known.contains(&name.as_str()) && !has_prefix {
                self.report(
                    &name,
                    "",
                    format!("unknown section{}", suggestion(&name, known.iter().copied())),
                );
            }
        }
    }

    /// Returns all findings collected so far.
    pub fn into_findings(self) -> FindingList {
        self.findings.into_inner()
    }

    fn check_structure(&self) {
        if self.ini.iter().any(|(name, properties)| name.is_none() && !properties.is_empty()) {
            self.report("", "", "keys must be inside a [section]");
        }
        let mut seen = HashSet::new();
        for name in self.section_names() {
            if !seen.insert(name.clone()) {
                self.report(&name, "", "section is defined twice");
            }
        }
        for (name, properties) in self.ini.iter() {
            let mut keys = HashSet::new();
            for (key, _) in properties.iter().filter(|(key, _)| !keys.insert(*key)) {
                self.report(name.unwrap_or(""), key, "key is defined twice");
            }
        }
    }
}

/// Reads the keys of one section. [`SectionReader::report_unknown_keys`] reports keys that were not
/// requested.
#[derive(Debug)]
pub struct SectionReader<'a> {
    source: &'a IniSource,
    name: String,
    properties: Option<&'a Properties>,
    requested_keys: RefCell<Vec<&'static str>>,
}

impl SectionReader<'_> {
    /// Returns whether the section is present.
    pub fn exists(&self) -> bool {
        self.properties.is_some()
    }

    /// Returns all keys and values, for sections with arbitrary keys.
    pub fn entries(&self) -> Vec<(String, String)> {
        let properties = self.properties.into_iter().flat_map(Properties::iter);
        properties.map(|(key, value)| (key.to_owned(), value.to_owned())).collect()
    }

    /// Returns the value of an optional key.
    pub fn optional(&self, key: &'static str) -> Option<String> {
        self.requested_keys.borrow_mut().push(key);
        self.properties.and_then(|properties| properties.get(key)).map(|value| value.trim().to_owned())
    }

    /// Returns the value of a required key. A missing key is reported and yields an empty value.
    pub fn required(&self, key: &'static str) -> String {
        self.optional(key).unwrap_or_else(|| {
            self.report(key, "is required");
            String::new()
        })
    }

    /// Returns the parsed value of an optional key; `expected` describes valid values in findings. A
    /// malformed value is reported and yields `None`.
    pub fn parsed<T: FromStr>(&self, key: &'static str, expected: &str) -> Option<T> {
        let text = self.optional(key)?;
        let parsed = text.parse().ok();
        if parsed.is_none() {
            self.report(key, format!("'{text}' is not {expected}"));
        }
        parsed
    }

    /// Returns the parsed value of an optional key, or `default` if it is missing or malformed.
    pub fn parsed_or<T: FromStr>(&self, key: &'static str, expected: &str, default: T) -> T {
        self.parsed(key, expected).unwrap_or(default)
    }

    /// Returns the parsed value of a required key. A missing or malformed value is reported and
    /// replaced by `fallback`.
    pub fn parsed_required<T: FromStr>(&self, key: &'static str, expected: &str, fallback: T) -> T {
        let text = self.required(key);
        if text.is_empty() {
            return fallback;
        }
        text.parse().unwrap_or_else(|_| {
            self.report(key, format!("'{text}' is not {expected}"));
            fallback
        })
    }

    /// Returns the value of an optional percentage as a fraction, or `default`, also a fraction, if it is
    /// missing or malformed.
    pub fn percent_or(&self, key: &'static str, default: f64) -> f64 {
        self.parsed(key, "a percentage").map_or(default, |percent: f64| percent / 100.0)
    }

    /// Returns the value of an optional duration in milliseconds, or `default` if it is missing or
    /// malformed.
    pub fn millis_or(&self, key: &'static str, default: Duration) -> Duration {
        self.parsed(key, "a whole number of milliseconds").map_or(default, Duration::from_millis)
    }

    /// Returns the value of an optional flag, `yes` or `no`, or `default` if it is missing or malformed.
    pub fn flag_or(&self, key: &'static str, default: bool) -> bool {
        match self.optional(key).as_deref() {
            None => default,
            Some("yes") => true,
            Some("no") => false,
            Some(other) => {
                self.report(key, format!("'{other}' is not 'yes' or 'no'"));
                default
            }
        }
    }

    /// Returns the parsed values of a comma-separated list; malformed values are reported and
    /// omitted.
    pub fn list<T: FromStr>(&self, key: &'static str, expected: &str) -> Vec<T> {
        let text = self.optional(key).unwrap_or_default();
        let items = text.split(',').map(str::trim).filter(|item| !item.is_empty());
        let parsed = items.filter_map(|item| {
            let value = item.parse().ok();
            if value.is_none() {
                self.report(key, format!("'{item}' is not {expected}"));
            }
            value
        });
        parsed.collect()
    }

    /// Adds a finding for a key.
    pub fn report(&self, key: &str, message: impl Into<String>) {
        self.source.report(&self.name, key, message);
    }

    /// Reports keys that were not requested.
    pub fn report_unknown_keys(self) {
        let known = self.requested_keys.borrow();
        for (key, _) in self.entries() {
            if !known.contains(&key.as_str()) {
                self.report(&key, format!("unknown key{}", suggestion(&key, known.iter().copied())));
            }
        }
    }
}

fn suggestion<'a>(text: &str, known: impl Iterator<Item = &'a str>) -> String {
    let nearest = known.map(|name| (edit_distance(text, name), name)).min();
    match nearest {
        Some((distance, name)) if distance <= MAX_SUGGESTION_DISTANCE => format!("; did you mean '{name}'?"),
        _ => String::new(),
    }
}

fn edit_distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (index, from) in left.chars().take(128).enumerate() {
        let mut diagonal = row[0];
        row[0] = index + 1;
        for (column, to) in right.iter().enumerate() {
            let substitution = diagonal + usize::from(from != *to);
            diagonal = row[column + 1];
            row[column + 1] = substitution.min(row[column] + 1).min(diagonal + 1);
        }
    }
    row[right.len()]
}

fn index_lines(text: &str) -> HashMap<(String, String), usize> {
    let mut lines = HashMap::new();
    let mut section = String::new();
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if let Some(name) = line.strip_prefix('[').and_then(|rest| rest.split(']').next()) {
            section = name.trim().to_owned();
            lines.entry((section.clone(), String::new())).or_insert(index + 1);
        } else if let Some((key, _)) = line.split_once(['=', ':']) {
            lines.entry((section.clone(), key.trim().to_owned())).or_insert(index + 1);
        }
    }
    lines
}
