//! Reads settings from JSON with comments, and collects all errors with their positions and hints.

use std::{collections::BTreeSet, fmt, net::SocketAddr, ops::RangeInclusive};

use jsonc_parser::{
    CollectOptions, ParseOptions,
    ast::{Object, Value},
    common::Ranged,
    parse_to_ast,
};
use smol_str::{SmolStr, format_smolstr};

/// An error in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Line, counted from 1.
    pub line: usize,
    /// Column, counted from 1.
    pub column: usize,
    /// Path of the field, such as `listen.callers`; empty if the error concerns the whole file. Where
    /// the file is no JSON, only the name of the field before the error on the same line, if any.
    pub path: SmolStr,
    /// What is wrong.
    pub message: SmolStr,
    /// How to correct it.
    pub hint: SmolStr,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let SettingsError {
            line,
            column,
            path,
            message,
            hint,
        } = self;
        let separator = if path.is_empty() { "" } else { ": " };
        write!(
            formatter,
            "{line}:{column}: {path}{separator}{message}\n    hint: {hint}"
        )
    }
}

/// A field that a settings file omits although it has a default.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DefaultedSetting {
    /// Path of the field, such as `bounds.quota_window_s`.
    pub path: SmolStr,
    /// The default in the notation of the file, in the unit of the field.
    pub value: SmolStr,
}

/// The text of a settings file, with the errors and the omitted fields found in it so far.
pub(super) struct ErrorList<'t> {
    text: &'t str,
    errors: Vec<SettingsError>,
    defaults: Vec<DefaultedSetting>,
}

impl<'t> ErrorList<'t> {
    pub(super) fn new(text: &'t str) -> ErrorList<'t> {
        ErrorList {
            text,
            errors: Vec::new(),
            defaults: Vec::new(),
        }
    }

    /// Returns the omitted fields in the order in which they were read.
    pub(super) fn take_defaults(&mut self) -> Vec<DefaultedSetting> {
        std::mem::take(&mut self.defaults)
    }

    /// Adds an error at a byte offset of the file.
    pub(super) fn add(&mut self, offset: usize, path: &str, message: &str, hint: &str) {
        let before = self.text.get(..offset).unwrap_or(self.text);
        let line_start = before.rfind('\n').map_or(0, |position| position + 1);
        self.errors.push(SettingsError {
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
            path: path.into(),
            message: message.into(),
            hint: hint.into(),
        });
    }

    pub(super) fn is_empty(&self) -> bool {
        self.errors.is_empty()
    }

    /// Returns the errors, sorted by position.
    pub(super) fn close(mut self) -> Vec<SettingsError> {
        self.errors.sort_by_key(|error| (error.line, error.column));
        self.errors
    }

    /// Parses the file, whose root must be an object.
    pub(super) fn parse(&mut self) -> Option<Object<'t>> {
        let options = ParseOptions {
            allow_loose_object_property_names: false,
            allow_missing_commas: false,
            allow_single_quoted_strings: false,
            allow_hexadecimal_numbers: false,
            allow_unary_plus_numbers: false,
            allow_bare_decimal_point_numbers: false,
            allow_non_finite_numbers: false,
            allow_extended_string_escapes: false,
            ..ParseOptions::default()
        };
        let parsed = match parse_to_ast(self.text, &CollectOptions::default(), &options) {
            Ok(parsed) => parsed,
            Err(error) => {
                let message = error.kind().to_string();
                let hint = "write JSON; // and /* */ comments are allowed";
                let offset = error.range().start;
                self.add(offset, field_before(self.text, offset), &message, hint);
                return None;
            }
        };
        match parsed.value {
            Some(Value::Object(object)) => Some(object),
            _ => {
                self.add(0, "", "not an object", "write { … }");
                None
            }
        }
    }
}

/// Name of the last field that begins before a byte offset on the same line; empty if none does.
fn field_before(text: &str, offset: usize) -> &str {
    let before = text.get(..offset).unwrap_or(text);
    let line = before.rsplit('\n').next().unwrap_or(before);
    line.rsplit_once(':')
        .and_then(|(field, _)| field.trim_end().strip_suffix('"'))
        .and_then(|field| field.rsplit('"').next())
        .unwrap_or("")
}

/// Parses a whole number. A fraction of zero is allowed: the values of templates may be written as
/// floating-point numbers.
fn whole_number(text: &str) -> Option<u64> {
    let integer = match text.split_once('.') {
        Some((integer, fraction)) if fraction.bytes().all(|digit| digit == b'0') => integer,
        Some(_) => return None,
        None => text,
    };
    integer.parse().ok()
}

/// Reads the fields of a JSON object, and keeps track of the field names it has looked up.
///
/// Without an object, all fields are absent and nothing is reported.
pub(super) struct ObjectReader<'o, 't> {
    path: SmolStr,
    offset: usize,
    object: Option<&'o Object<'t>>,
    looked_up: BTreeSet<&'static str>,
}

impl<'o, 't> ObjectReader<'o, 't> {
    pub(super) fn root(object: &'o Object<'t>) -> ObjectReader<'o, 't> {
        ObjectReader {
            path: SmolStr::default(),
            offset: object.range.start,
            object: Some(object),
            looked_up: BTreeSet::new(),
        }
    }

    /// Creates a reader without an object.
    pub(super) fn empty() -> ObjectReader<'o, 't> {
        ObjectReader {
            path: SmolStr::default(),
            offset: 0,
            object: None,
            looked_up: BTreeSet::new(),
        }
    }

    /// Whether the object has the field.
    pub(super) fn has(&mut self, name: &'static str) -> bool {
        self.value(name).is_some()
    }

    /// Records that the field is omitted and that `value` applies.
    pub(super) fn add_default(&self, name: &str, value: SmolStr, errors: &mut ErrorList<'_>) {
        errors.defaults.push(DefaultedSetting {
            path: self.path_of(name),
            value,
        });
    }

    fn path_of(&self, name: &str) -> SmolStr {
        if self.path.is_empty() {
            name.into()
        } else {
            format_smolstr!("{}.{name}", self.path)
        }
    }

    fn value(&mut self, name: &'static str) -> Option<&'o Value<'t>> {
        self.looked_up.insert(name);
        Some(&self.object?.get(name)?.value)
    }

    fn required(
        &mut self,
        name: &'static str,
        hint: &str,
        errors: &mut ErrorList<'_>,
    ) -> Option<&'o Value<'t>> {
        let value = self.value(name);
        if value.is_none() && self.object.is_some() {
            errors.add(self.offset, &self.path_of(name), "missing", hint);
        }
        value
    }

    fn report(
        &self,
        name: &str,
        value: &Value<'_>,
        message: &str,
        hint: &str,
        errors: &mut ErrorList<'_>,
    ) {
        errors.add(value.range().start, &self.path_of(name), message, hint);
    }

    /// Reads a required object.
    pub(super) fn object(
        &mut self,
        name: &'static str,
        errors: &mut ErrorList<'_>,
    ) -> ObjectReader<'o, 't> {
        let value = self.required(name, "write an object { … }", errors);
        self.nested(name, value, errors)
    }

    /// Reads an optional object; if it is absent, so are all its fields.
    pub(super) fn optional_object(
        &mut self,
        name: &'static str,
        errors: &mut ErrorList<'_>,
    ) -> ObjectReader<'o, 't> {
        let value = self.value(name);
        self.nested(name, value, errors)
    }

    fn nested(
        &mut self,
        name: &str,
        value: Option<&'o Value<'t>>,
        errors: &mut ErrorList<'_>,
    ) -> ObjectReader<'o, 't> {
        let object = value.and_then(|value| {
            let object = value.as_object();
            if object.is_none() {
                self.report(name, value, "not an object", "write { … }", errors);
            }
            object
        });
        ObjectReader {
            path: self.path_of(name),
            offset: object.map_or(self.offset, |object| object.range.start),
            object,
            looked_up: BTreeSet::new(),
        }
    }

    /// Reads a required string, which must not be empty.
    pub(super) fn string(
        &mut self,
        name: &'static str,
        hint: &str,
        errors: &mut ErrorList<'_>,
    ) -> Option<SmolStr> {
        let value = self.required(name, hint, errors)?;
        match value.as_string_lit() {
            Some(text) if !text.value.is_empty() => Some(SmolStr::new(&text.value)),
            Some(_) => {
                self.report(name, value, "empty", hint, errors);
                None
            }
            None => {
                self.report(name, value, "not a string", hint, errors);
                None
            }
        }
    }

    /// Reads an optional string, which must be one of `choices`.
    pub(super) fn choice(
        &mut self,
        name: &'static str,
        choices: &[&'static str],
        default: &'static str,
        errors: &mut ErrorList<'_>,
    ) -> &'static str {
        let Some(value) = self.value(name) else {
            self.add_default(name, default.into(), errors);
            return default;
        };
        let text = value.as_string_lit().map(|text| text.value.as_ref());
        let choice = choices.iter().find(|choice| Some(**choice) == text);
        if choice.is_none() {
            let hint = format!("write one of: {}", choices.join(", "));
            self.report(name, value, "not a known choice", &hint, errors);
        }
        choice.copied().unwrap_or(default)
    }

    /// Reads a required socket address.
    pub(super) fn address(
        &mut self,
        name: &'static str,
        errors: &mut ErrorList<'_>,
    ) -> Option<SocketAddr> {
        let hint = "write IP:PORT, such as \"10.0.0.1:7101\"";
        let text = self.string(name, hint, errors)?;
        let address = text.parse().ok();
        if address.is_none()
            && let Some(value) = self.value(name)
        {
            self.report(name, value, "not an IP address with a port", hint, errors);
        }
        address
    }

    /// Reads an optional integer, which must be within `range`.
    pub(super) fn integer(
        &mut self,
        name: &'static str,
        range: RangeInclusive<u64>,
        unit: &str,
        default: u64,
        errors: &mut ErrorList<'_>,
    ) -> u64 {
        let Some(value) = self.value(name) else {
            self.add_default(name, format_smolstr!("{default}"), errors);
            return default;
        };
        let (low, high) = (range.start(), range.end());
        let hint = format!("write a whole number of {unit} from {low} to {high}, without a unit");
        let Some(number) = value.as_number_lit() else {
            self.report(name, value, "not a number", &hint, errors);
            return default;
        };
        match whole_number(number.value) {
            Some(number) if range.contains(&number) => number,
            Some(_) => {
                self.report(name, value, "out of range", &hint, errors);
                default
            }
            None => {
                self.report(name, value, "not a whole number", &hint, errors);
                default
            }
        }
    }

    /// Reads an optional boolean.
    pub(super) fn boolean(
        &mut self,
        name: &'static str,
        default: bool,
        errors: &mut ErrorList<'_>,
    ) -> bool {
        let Some(value) = self.value(name) else {
            self.add_default(name, format_smolstr!("{default}"), errors);
            return default;
        };
        let boolean = value.as_boolean_lit().map(|literal| literal.value);
        if boolean.is_none() {
            self.report(
                name,
                value,
                "not true or false",
                "write true or false",
                errors,
            );
        }
        boolean.unwrap_or(default)
    }

    /// Reads an optional finite number, which must not be below `least`; `kind` describes it in the
    /// hint.
    pub(super) fn number(
        &mut self,
        name: &'static str,
        least: f64,
        kind: &str,
        default: f64,
        errors: &mut ErrorList<'_>,
    ) -> f64 {
        let Some(value) = self.value(name) else {
            self.add_default(name, format_smolstr!("{default}"), errors);
            return default;
        };
        let number = value
            .as_number_lit()
            .and_then(|number| number.value.parse::<f64>().ok())
            .filter(|number| number.is_finite());
        let message = match number {
            Some(number) if number >= least => return number,
            Some(_) => "out of range",
            None => "not a number",
        };
        let hint = format!("write {kind}, {least} or more");
        self.report(name, value, message, &hint, errors);
        default
    }

    /// Reads a required list of strings, each with its byte offset in the file.
    pub(super) fn strings(
        &mut self,
        name: &'static str,
        hint: &str,
        errors: &mut ErrorList<'_>,
    ) -> Vec<(usize, SmolStr)> {
        let Some(value) = self.required(name, hint, errors) else {
            return Vec::new();
        };
        let Some(array) = value.as_array() else {
            self.report(name, value, "not a list", hint, errors);
            return Vec::new();
        };
        let mut strings = Vec::new();
        for element in &array.elements {
            match element.as_string_lit() {
                Some(text) => strings.push((element.range().start, SmolStr::new(&text.value))),
                None => self.report(name, element, "not a string", hint, errors),
            }
        }
        strings
    }

    /// Byte offset of a field's value, or of the object if the field is absent.
    pub(super) fn offset_of(&mut self, name: &'static str) -> usize {
        self.value(name)
            .map_or(self.offset, |value| value.range().start)
    }

    /// Reports fields that were never looked up, and fields that are given twice.
    pub(super) fn close(self, errors: &mut ErrorList<'_>) {
        let Some(object) = self.object else { return };
        let mut seen = BTreeSet::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let path = self.path_of(name);
            let offset = property.range.start;
            if !self.looked_up.contains(name) {
                let known: Vec<&str> = self.looked_up.iter().copied().collect();
                let hint = format!("known here: {}", known.join(", "));
                errors.add(offset, &path, "unknown field", &hint);
            } else if !seen.insert(name) {
                errors.add(offset, &path, "given twice", "keep one of them");
            }
        }
    }
}
