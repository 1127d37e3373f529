//! Reads settings from JSON with comments and collects every fault with its place and a hint.

use std::{collections::BTreeSet, fmt, net::SocketAddr, ops::RangeInclusive};

use jsonc_parser::{
    CollectOptions, ParseOptions,
    ast::{Object, Value},
    common::Ranged,
    parse_to_ast,
};
use smol_str::{SmolStr, format_smolstr};

/// One fault in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsFault {
    /// Line, counted from 1.
    pub line: usize,
    /// Column, counted from 1.
    pub column: usize,
    /// Path of the field, such as `listen.callers`; empty for the file as a whole.
    pub path: SmolStr,
    /// What is wrong.
    pub message: SmolStr,
    /// What to do about it.
    pub hint: SmolStr,
}

impl fmt::Display for SettingsFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let SettingsFault {
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

/// The text of a file and the faults found so far.
pub(super) struct FaultList<'t> {
    text: &'t str,
    faults: Vec<SettingsFault>,
}

impl<'t> FaultList<'t> {
    pub(super) fn new(text: &'t str) -> FaultList<'t> {
        FaultList {
            text,
            faults: Vec::new(),
        }
    }

    pub(super) fn add(&mut self, offset: usize, path: &str, message: &str, hint: &str) {
        let before = self.text.get(..offset).unwrap_or(self.text);
        let line_start = before.rfind('\n').map_or(0, |position| position + 1);
        self.faults.push(SettingsFault {
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
            path: path.into(),
            message: message.into(),
            hint: hint.into(),
        });
    }

    pub(super) fn is_empty(&self) -> bool {
        self.faults.is_empty()
    }

    /// Ends the reading; faults are sorted by place.
    pub(super) fn close(mut self) -> Vec<SettingsFault> {
        self.faults.sort_by_key(|fault| (fault.line, fault.column));
        self.faults
    }

    /// Parses the file into an object.
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
                self.add(error.range().start, "", &message, hint);
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

/// Reads the fields of one object.
pub(super) struct ObjectReader<'o, 't> {
    path: SmolStr,
    offset: usize,
    object: Option<&'o Object<'t>>,
    known: BTreeSet<&'static str>,
}

impl<'o, 't> ObjectReader<'o, 't> {
    pub(super) fn root(object: &'o Object<'t>) -> ObjectReader<'o, 't> {
        ObjectReader {
            path: SmolStr::default(),
            offset: object.range.start,
            object: Some(object),
            known: BTreeSet::new(),
        }
    }

    /// A reader of no object, which reports nothing.
    pub(super) fn empty() -> ObjectReader<'o, 't> {
        ObjectReader {
            path: SmolStr::default(),
            offset: 0,
            object: None,
            known: BTreeSet::new(),
        }
    }

    /// Whether the object has the field.
    pub(super) fn has(&mut self, name: &'static str) -> bool {
        self.value(name).is_some()
    }

    fn path_of(&self, name: &str) -> SmolStr {
        if self.path.is_empty() {
            name.into()
        } else {
            format_smolstr!("{}.{name}", self.path)
        }
    }

    fn value(&mut self, name: &'static str) -> Option<&'o Value<'t>> {
        self.known.insert(name);
        Some(&self.object?.get(name)?.value)
    }

    fn required(
        &mut self,
        name: &'static str,
        hint: &str,
        faults: &mut FaultList<'_>,
    ) -> Option<&'o Value<'t>> {
        let value = self.value(name);
        if value.is_none() && self.object.is_some() {
            faults.add(self.offset, &self.path_of(name), "missing", hint);
        }
        value
    }

    fn wrong(
        &self,
        name: &str,
        value: &Value<'_>,
        what: &str,
        hint: &str,
        faults: &mut FaultList<'_>,
    ) {
        faults.add(value.range().start, &self.path_of(name), what, hint);
    }

    /// A required object.
    pub(super) fn object(
        &mut self,
        name: &'static str,
        faults: &mut FaultList<'_>,
    ) -> ObjectReader<'o, 't> {
        let value = self.required(name, "write an object { … }", faults);
        self.nested(name, value, faults)
    }

    /// An optional object; its fields are then all missing.
    pub(super) fn optional_object(
        &mut self,
        name: &'static str,
        faults: &mut FaultList<'_>,
    ) -> ObjectReader<'o, 't> {
        let value = self.value(name);
        self.nested(name, value, faults)
    }

    fn nested(
        &mut self,
        name: &str,
        value: Option<&'o Value<'t>>,
        faults: &mut FaultList<'_>,
    ) -> ObjectReader<'o, 't> {
        let object = value.and_then(|value| {
            let object = value.as_object();
            if object.is_none() {
                self.wrong(name, value, "not an object", "write { … }", faults);
            }
            object
        });
        ObjectReader {
            path: self.path_of(name),
            offset: object.map_or(self.offset, |object| object.range.start),
            object,
            known: BTreeSet::new(),
        }
    }

    /// A required string.
    pub(super) fn text(
        &mut self,
        name: &'static str,
        hint: &str,
        faults: &mut FaultList<'_>,
    ) -> Option<SmolStr> {
        let value = self.required(name, hint, faults)?;
        match value.as_string_lit() {
            Some(text) if !text.value.is_empty() => Some(SmolStr::new(&text.value)),
            Some(_) => {
                self.wrong(name, value, "empty", hint, faults);
                None
            }
            None => {
                self.wrong(name, value, "not a string", hint, faults);
                None
            }
        }
    }

    /// An optional string that must be one of `choices`.
    pub(super) fn choice(
        &mut self,
        name: &'static str,
        choices: &[&'static str],
        faults: &mut FaultList<'_>,
    ) -> Option<&'static str> {
        let value = self.value(name)?;
        let text = value.as_string_lit().map(|text| text.value.as_ref());
        let choice = choices.iter().find(|choice| Some(**choice) == text);
        if choice.is_none() {
            let hint = format!("write one of: {}", choices.join(", "));
            self.wrong(name, value, "not a known choice", &hint, faults);
        }
        choice.copied()
    }

    /// A required socket address.
    pub(super) fn address(
        &mut self,
        name: &'static str,
        faults: &mut FaultList<'_>,
    ) -> Option<SocketAddr> {
        let hint = "write IP:PORT, such as \"10.0.0.1:7101\"";
        let text = self.text(name, hint, faults)?;
        let address = text.parse().ok();
        if address.is_none()
            && let Some(value) = self.value(name)
        {
            self.wrong(name, value, "not an IP address with a port", hint, faults);
        }
        address
    }

    /// An optional whole number within `range`.
    pub(super) fn integer(
        &mut self,
        name: &'static str,
        range: RangeInclusive<u64>,
        unit: &str,
        default: u64,
        faults: &mut FaultList<'_>,
    ) -> u64 {
        let Some(value) = self.value(name) else {
            return default;
        };
        let (low, high) = (range.start(), range.end());
        let hint = format!("write a whole number of {unit} from {low} to {high}, without a unit");
        let Some(number) = value.as_number_lit() else {
            self.wrong(name, value, "not a number", &hint, faults);
            return default;
        };
        match number.value.parse::<u64>() {
            Ok(number) if range.contains(&number) => number,
            Ok(_) => {
                self.wrong(name, value, "out of range", &hint, faults);
                default
            }
            Err(_) => {
                self.wrong(name, value, "not a whole number", &hint, faults);
                default
            }
        }
    }

    /// An optional truth value.
    pub(super) fn boolean(
        &mut self,
        name: &'static str,
        default: bool,
        faults: &mut FaultList<'_>,
    ) -> bool {
        let Some(value) = self.value(name) else {
            return default;
        };
        let truth = value.as_boolean_lit().map(|literal| literal.value);
        if truth.is_none() {
            self.wrong(
                name,
                value,
                "not true or false",
                "write true or false",
                faults,
            );
        }
        truth.unwrap_or(default)
    }

    /// An optional number that is not negative.
    pub(super) fn number(
        &mut self,
        name: &'static str,
        default: f64,
        faults: &mut FaultList<'_>,
    ) -> f64 {
        let Some(value) = self.value(name) else {
            return default;
        };
        let number = value
            .as_number_lit()
            .and_then(|number| number.value.parse::<f64>().ok())
            .filter(|number| number.is_finite() && *number >= 0.0);
        if number.is_none() {
            let hint = "write a number of 0 or more";
            self.wrong(name, value, "not such a number", hint, faults);
        }
        number.unwrap_or(default)
    }

    /// A list of strings.
    pub(super) fn texts(
        &mut self,
        name: &'static str,
        hint: &str,
        faults: &mut FaultList<'_>,
    ) -> Vec<(usize, SmolStr)> {
        let Some(value) = self.required(name, hint, faults) else {
            return Vec::new();
        };
        let Some(array) = value.as_array() else {
            self.wrong(name, value, "not a list", hint, faults);
            return Vec::new();
        };
        let mut texts = Vec::new();
        for element in &array.elements {
            match element.as_string_lit() {
                Some(text) => texts.push((element.range().start, SmolStr::new(&text.value))),
                None => self.wrong(name, element, "not a string", hint, faults),
            }
        }
        texts
    }

    /// Where the value of a field stands in the file.
    pub(super) fn offset_of(&mut self, name: &'static str) -> usize {
        self.value(name)
            .map_or(self.offset, |value| value.range().start)
    }

    /// Ends the reading of the object: reports fields that are unknown or given twice.
    pub(super) fn close(self, faults: &mut FaultList<'_>) {
        let Some(object) = self.object else { return };
        let mut seen = BTreeSet::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let path = self.path_of(name);
            let offset = property.range.start;
            if !self.known.contains(name) {
                let known: Vec<&str> = self.known.iter().copied().collect();
                let hint = format!("known here: {}", known.join(", "));
                faults.add(offset, &path, "unknown field", &hint);
            } else if !seen.insert(name) {
                faults.add(offset, &path, "given twice", "keep one of them");
            }
        }
    }
}
