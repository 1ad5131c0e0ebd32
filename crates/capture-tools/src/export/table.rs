//! A Parquet file that is written row by row.

use crate::source::ToolError;
use arrow_array::builder::{
    BooleanBuilder, Float64Builder, Int64Builder, StringBuilder, UInt64Builder,
};
use arrow_array::{ArrayRef, RecordBatch};
use arrow_schema::{DataType, Field, Schema};
use parquet::arrow::ArrowWriter;
use parquet::basic::Compression;
use parquet::errors::ParquetError;
use parquet::file::properties::WriterProperties;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// The number of rows that are buffered before they are written.
const BATCH_ROWS: usize = 16 << 10;

/// The type of a column.
#[derive(Clone, Copy, Debug)]
pub enum ColumnType {
    Text,
    Integer,
    Unsigned,
    Float,
    Boolean,
}

/// The name and type of a column. All columns are nullable.
#[derive(Clone, Copy, Debug)]
pub struct Column {
    name: &'static str,
    column_type: ColumnType,
}

impl Column {
    /// Creates a column.
    pub const fn new(name: &'static str, column_type: ColumnType) -> Column {
        Column { name, column_type }
    }

    fn field(&self) -> Field {
        let data_type = match self.column_type {
            ColumnType::Text => DataType::Utf8,
            ColumnType::Integer => DataType::Int64,
            ColumnType::Unsigned => DataType::UInt64,
            ColumnType::Float => DataType::Float64,
            ColumnType::Boolean => DataType::Boolean,
        };
        Field::new(self.name, data_type, true)
    }
}

/// A value of a row.
#[derive(Clone, Debug)]
pub enum Value {
    Text(Option<String>),
    Integer(Option<i64>),
    Unsigned(Option<u64>),
    Float(Option<f64>),
    Boolean(Option<bool>),
}

/// Buffers the values of a column that are not written yet.
enum ColumnBuilder {
    Text(StringBuilder),
    Integer(Int64Builder),
    Unsigned(UInt64Builder),
    Float(Float64Builder),
    Boolean(BooleanBuilder),
}

impl ColumnBuilder {
    fn new(column_type: ColumnType) -> ColumnBuilder {
        match column_type {
            ColumnType::Text => ColumnBuilder::Text(StringBuilder::new()),
            ColumnType::Integer => ColumnBuilder::Integer(Int64Builder::new()),
            ColumnType::Unsigned => ColumnBuilder::Unsigned(UInt64Builder::new()),
            ColumnType::Float => ColumnBuilder::Float(Float64Builder::new()),
            ColumnType::Boolean => ColumnBuilder::Boolean(BooleanBuilder::new()),
        }
    }

    fn append(&mut self, value: Value) {
        match (self, value) {
            (ColumnBuilder::Text(builder), Value::Text(value)) => builder.append_option(value),
            (ColumnBuilder::Integer(builder), Value::Integer(value)) => {
                builder.append_option(value);
            }
            (ColumnBuilder::Unsigned(builder), Value::Unsigned(value)) => {
                builder.append_option(value);
            }
            (ColumnBuilder::Float(builder), Value::Float(value)) => builder.append_option(value),
            (ColumnBuilder::Boolean(builder), Value::Boolean(value)) => {
                builder.append_option(value);
            }
            _ => panic!("the type of a value differs from that of its column"),
        }
    }

    fn finish(&mut self) -> ArrayRef {
        match self {
            ColumnBuilder::Text(builder) => Arc::new(builder.finish()),
            ColumnBuilder::Integer(builder) => Arc::new(builder.finish()),
            ColumnBuilder::Unsigned(builder) => Arc::new(builder.finish()),
            ColumnBuilder::Float(builder) => Arc::new(builder.finish()),
            ColumnBuilder::Boolean(builder) => Arc::new(builder.finish()),
        }
    }
}

/// A Parquet file that is being written.
pub struct Table {
    path: PathBuf,
    schema: Arc<Schema>,
    builders: Vec<ColumnBuilder>,
    /// The number of rows in the builders.
    pending_rows: usize,
    total_rows: u64,
    writer: ArrowWriter<File>,
    /// The first error. Later rows are dropped, and [`Table::close`] reports it.
    error: Option<ParquetError>,
}

impl Table {
    /// Creates a file with these columns.
    ///
    /// # Errors
    ///
    /// If the file can't be created.
    pub fn create(path: &Path, columns: &[Column]) -> Result<Table, ToolError> {
        let output_error = |error: String| ToolError::Output(path.to_owned(), error);
        let file = File::create(path).map_err(|error| output_error(error.to_string()))?;
        let fields: Vec<Field> = columns.iter().map(Column::field).collect();
        let schema = Arc::new(Schema::new(fields));
        let properties = WriterProperties::builder()
            .set_compression(Compression::SNAPPY)
            .build();
        let writer = ArrowWriter::try_new(file, schema.clone(), Some(properties))
            .map_err(|error| output_error(error.to_string()))?;
        let builders = columns
            .iter()
            .map(|column| ColumnBuilder::new(column.column_type));
        Ok(Table {
            path: path.to_owned(),
            schema,
            builders: builders.collect(),
            pending_rows: 0,
            total_rows: 0,
            writer,
            error: None,
        })
    }

    /// Adds a row with a value for each column.
    ///
    /// # Panics
    ///
    /// If the number or a type of the values is not that of the columns.
    pub fn add_row(&mut self, values: Vec<Value>) {
        assert_eq!(
            values.len(),
            self.builders.len(),
            "the number of values in a row differs from the number of columns"
        );
        for (builder, value) in self.builders.iter_mut().zip(values) {
            builder.append(value);
        }
        self.pending_rows += 1;
        self.total_rows += 1;
        if self.pending_rows >= BATCH_ROWS {
            self.flush();
        }
    }

    fn flush(&mut self) {
        if std::mem::take(&mut self.pending_rows) == 0 {
            return;
        }
        let arrays = self.builders.iter_mut().map(ColumnBuilder::finish);
        let written = RecordBatch::try_new(self.schema.clone(), arrays.collect())
            .map_err(ParquetError::from)
            .and_then(|batch| self.writer.write(&batch));
        if let Err(error) = written {
            self.error.get_or_insert(error);
        }
    }

    /// Completes the file and returns the number of rows.
    ///
    /// # Errors
    ///
    /// If a row or the end of the file can't be written.
    pub fn close(mut self) -> Result<u64, ToolError> {
        self.flush();
        let closed = self.writer.close().map(|_| ());
        match self.error.map_or(closed, Err) {
            Ok(()) => Ok(self.total_rows),
            Err(error) => Err(ToolError::Output(self.path, error.to_string())),
        }
    }
}
