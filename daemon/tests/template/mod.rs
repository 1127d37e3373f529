//! Renders a template as the users' platform does: `{{a.b}}`, `{{a|json}}`, `{{#a}}..{{/a}}`,
//! `{{^a}}..{{/a}}`, and within a section `{{.}}`, `{{@}}` and `{{,}}`.

use serde_json::Value;

/// An entry of a section.
struct Entry<'v> {
    value: &'v Value,
    key: String,
    is_last: bool,
}

/// Renders a template with the fields of the platform.
///
/// # Panics
///
/// Panics when a tag or a section is not closed.
pub(crate) fn render(template: &str, fields: &Value) -> String {
    let root = Entry {
        value: fields,
        key: String::new(),
        is_last: true,
    };
    let mut output = String::new();
    render_part(template, &[&root], &mut output);
    output
}

fn render_part(template: &str, entries: &[&Entry<'_>], output: &mut String) {
    let mut rest = template;
    while let Some((text, after)) = rest.split_once("{{") {
        output.push_str(text);
        let (tag, after) = after.split_once("}}").expect("the end of a tag");
        rest = after;
        let entry = entries.last().expect("an entry");
        if let Some(name) = tag.strip_prefix('#') {
            let (inner, after) = split_section(rest, name);
            rest = after;
            for entry in section_entries(resolve(name, entries)) {
                let entries = [entries, &[&entry]].concat();
                render_part(inner, &entries, output);
            }
        } else if let Some(name) = tag.strip_prefix('^') {
            let (inner, after) = split_section(rest, name);
            rest = after;
            if is_absent(resolve(name, entries)) {
                render_part(inner, entries, output);
            }
        } else {
            match tag {
                "." => output.push_str(&display(entry.value)),
                "@" => output.push_str(&entry.key),
                "," if entry.is_last => {}
                "," => output.push(','),
                tag => match tag.strip_suffix("|json") {
                    Some(name) => {
                        let value = resolve(name, entries).unwrap_or(&Value::Null);
                        output.push_str(&value.to_string());
                    }
                    None => output.push_str(&resolve(tag, entries).map_or(String::new(), display)),
                },
            }
        }
    }
    output.push_str(rest);
}

/// Splits the text after the beginning of a section into its content and what follows its end.
fn split_section<'t>(text: &'t str, name: &str) -> (&'t str, &'t str) {
    let end = format!("{{{{/{name}}}}}");
    let begins = [format!("{{{{#{name}}}}}"), format!("{{{{^{name}}}}}")];
    let mut depth = 1;
    for (position, _) in text.match_indices("{{") {
        let tag = &text[position..];
        if begins.iter().any(|begin| tag.starts_with(begin)) {
            depth += 1;
        } else if tag.starts_with(&end) {
            depth -= 1;
        }
        if depth == 0 {
            return (&text[..position], &tag[end.len()..]);
        }
    }
    panic!("section {name} has no end");
}

fn is_absent(value: Option<&Value>) -> bool {
    matches!(value, None | Some(Value::Null | Value::Bool(false)))
}

fn section_entries(value: Option<&Value>) -> Vec<Entry<'_>> {
    let Some(value) = value.filter(|value| !is_absent(Some(value))) else {
        return Vec::new();
    };
    let values: Vec<(String, &Value)> = match value {
        Value::Array(items) => items
            .iter()
            .enumerate()
            .map(|(index, item)| (index.to_string(), item))
            .collect(),
        Value::Object(table) => table
            .iter()
            .map(|(key, item)| (key.clone(), item))
            .collect(),
        scalar => vec![(String::new(), scalar)],
    };
    let count = values.len();
    values
        .into_iter()
        .enumerate()
        .map(|(index, (key, value))| Entry {
            value,
            key,
            is_last: index + 1 == count,
        })
        .collect()
}

/// Resolves a name in the innermost entry that has it.
fn resolve<'v>(name: &str, entries: &[&Entry<'v>]) -> Option<&'v Value> {
    entries.iter().rev().find_map(|entry| {
        name.split('.')
            .try_fold(entry.value, |value, step| match value {
                Value::Object(table) => table.get(step),
                Value::Array(items) => items.get(step.parse::<usize>().ok()?),
                _ => None,
            })
    })
}

/// The text of a value: lists are joined by commas, and tables are written as JSON.
fn display(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        Value::Array(items) => items.iter().map(display).collect::<Vec<_>>().join(","),
        other => other.to_string(),
    }
}
