//! Report pages: HTML with tables and plots in one file.

use std::fmt::Write;
use std::fs;
use std::path::Path;

use crate::error::RehearsalError;

/// A page that grows section by section.
#[derive(Debug, Clone)]
pub struct ReportPage {
    html: String,
}

impl ReportPage {
    /// An empty page.
    pub fn new(title: &str) -> Self {
        let title = escape(title);
        let html = format!(
            "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>{title}</title>\n\
             <style>body{{font-family:sans-serif;max-width:60em;margin:auto}}\
             td,th{{padding:.2em .6em;text-align:right}}</style></head><body>\n<h1>{title}</h1>\n"
        );
        Self { html }
    }

    /// A paragraph.
    pub fn paragraph(&mut self, text: &str) {
        self.html.push_str(&format!("<p>{}</p>\n", escape(text)));
    }

    /// A heading.
    pub fn heading(&mut self, text: &str) {
        self.html.push_str(&format!("<h2>{}</h2>\n", escape(text)));
    }

    /// A table.
    pub fn table(&mut self, columns: &[&str], rows: &[Vec<String>]) {
        self.html.push_str("<table border=\"1\" style=\"border-collapse:collapse\">\n<tr>");
        for column in columns {
            // Writing to a string does not fail, here and below.
            let _ = write!(self.html, "<th>{}</th>", escape(column));
        }
        self.html.push_str("</tr>\n");
        for row in rows {
            self.html.push_str("<tr>");
            for cell in row {
                let _ = write!(self.html, "<td>{}</td>", escape(cell));
            }
            self.html.push_str("</tr>\n");
        }
        self.html.push_str("</table>\n");
    }

    /// A plot, as SVG.
    pub fn plot(&mut self, svg: &str) {
        self.html.push_str(svg);
        self.html.push('\n');
    }

    /// The page as HTML.
    pub fn to_html(&self) -> String {
        format!("{}</body></html>\n", self.html)
    }

    /// Writes the page to a file.
    ///
    /// # Errors
    /// [`RehearsalError::Resource`] when the file cannot be written.
    pub fn write(&self, path: &Path) -> Result<(), RehearsalError> {
        fs::write(path, self.to_html())
            .map_err(|error| RehearsalError::resource(path.display(), error))
    }
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
