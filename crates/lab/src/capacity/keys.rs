//! A JSON file read by keys. Whatever is missing or of another form is told with the file and the key's whole path.
use serde_json::Value;
use std::path::Path;

/// One value and where it stands.
#[derive(Clone)]
pub struct At<'a> {
    file: &'a str,
    path: String,
    pub value: &'a Value,
}

/// The file's text as JSON.
pub fn read(path: &Path) -> Result<Value, String> {
    let text = std::fs::read_to_string(path).map_err(|why| format!("{}: {why}", path.display()))?;
    serde_json::from_str(&text).map_err(|why| format!("{}: not JSON ({why})", path.display()))
}

impl<'a> At<'a> {
    pub fn new(file: &'a str, value: &'a Value) -> Self {
        At { file, path: String::new(), value }
    }

    pub fn wrong(&self, expected: &str) -> String {
        format!("{}: key `{}`: {expected}", self.file, self.path)
    }

    fn inner(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_string() } else { format!("{}.{key}", self.path) }
    }

    pub fn maybe(&self, key: &str) -> Option<At<'a>> {
        let value = self.value.get(key).filter(|value| !value.is_null())?;
        Some(At { file: self.file, path: self.inner(key), value })
    }

    pub fn key(&self, key: &str) -> Result<At<'a>, String> {
        self.maybe(key).ok_or_else(|| format!("{}: key `{}`: missing", self.file, self.inner(key)))
    }

    pub fn text(&self) -> Result<&'a str, String> {
        let text = self.value.as_str().filter(|text| !text.is_empty());
        text.ok_or_else(|| self.wrong("expected text"))
    }

    pub fn number(&self) -> Result<f64, String> {
        self.value.as_f64().ok_or_else(|| self.wrong("expected a number"))
    }

    pub fn flag(&self) -> Result<bool, String> {
        self.value.as_bool().ok_or_else(|| self.wrong("expected true or false"))
    }

    pub fn list(&self) -> Result<Vec<At<'a>>, String> {
        let list = self.value.as_array().ok_or_else(|| self.wrong("expected a list"))?;
        let at = |(n, value)| At { file: self.file, path: format!("{}[{n}]", self.path), value };
        Ok(list.iter().enumerate().map(at).collect())
    }

    pub fn object(&self) -> Result<Vec<(&'a str, At<'a>)>, String> {
        let object = self.value.as_object().ok_or_else(|| self.wrong("expected an object"))?;
        let at = |key: &str, value| At { file: self.file, path: self.inner(key), value };
        Ok(object.iter().map(|(key, value)| (key.as_str(), at(key, value))).collect())
    }

    /// The texts of a list under a key; none where the key is not there.
    pub fn texts(&self, key: &str) -> Result<Vec<String>, String> {
        let Some(list) = self.maybe(key) else { return Ok(vec![]) };
        list.list()?.iter().map(|text| text.text().map(str::to_string)).collect()
    }
}
