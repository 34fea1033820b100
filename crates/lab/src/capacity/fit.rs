//! A line through measured points: `a + b x n` by least squares over the medians of repeats, how far repeats and points lie
//! off, and what it comes to elsewhere.
use super::results::spread;

/// What was measured at one `n`.
#[derive(Clone, Debug, PartialEq)]
pub struct Point {
    pub n: f64,
    pub least: f64,
    pub median: f64,
    pub most: f64,
}

/// Points in the order of `n`; values of the same `n` are taken together.
pub fn points(mut measured: Vec<(f64, Vec<f64>)>) -> Vec<Point> {
    measured.sort_by(|one, other| one.0.total_cmp(&other.0));
    let mut joined: Vec<(f64, Vec<f64>)> = vec![];
    for (n, values) in measured {
        match joined.last_mut().filter(|last| last.0 == n) {
            Some(last) => last.1.extend(values),
            None => joined.push((n, values)),
        }
    }
    let point = |(n, values): (f64, Vec<f64>)| {
        let (least, median, most) = spread(&values);
        Point { n, least, median, most }
    };
    joined.into_iter().map(point).collect()
}

#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    pub a: f64,
    pub b: f64,
    pub points: Vec<Point>,
}

/// What a line comes to at some `n`, and where that comes from.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// Measured there: least, median and most.
    Measured(Point),
    /// By the line between the least and the greatest `n` measured.
    Between(f64),
    /// By the line, so many times past the greatest `n` measured.
    Beyond(f64, f64),
    /// By the line, below the least `n` measured.
    Below(f64),
}

impl Value {
    pub fn number(&self) -> f64 {
        match self {
            Value::Measured(point) => point.median,
            Value::Between(value) | Value::Beyond(value, _) | Value::Below(value) => *value,
        }
    }
}

/// The line through the points' medians; none with fewer than two.
pub fn line(points: Vec<Point>) -> Option<Line> {
    if points.len() < 2 {
        return None;
    }
    let count = points.len() as f64;
    let mean = |of: &dyn Fn(&Point) -> f64| points.iter().map(of).sum::<f64>() / count;
    let (mean_n, mean_value) = (mean(&|p| p.n), mean(&|p| p.median));
    let over = points.iter().map(|p| (p.n - mean_n) * (p.median - mean_value)).sum::<f64>();
    let b = over / points.iter().map(|p| (p.n - mean_n).powi(2)).sum::<f64>();
    Some(Line { a: mean_value - b * mean_n, b, points })
}

impl Line {
    pub fn at(&self, n: f64) -> f64 {
        self.a + self.b * n
    }

    pub fn value(&self, n: f64) -> Value {
        let (first, last) = (&self.points[0], &self.points[self.points.len() - 1]);
        match self.points.iter().find(|point| point.n == n) {
            Some(point) => Value::Measured(point.clone()),
            None if n < first.n => Value::Below(self.at(n)),
            None if n > last.n => Value::Beyond(self.at(n), n / last.n),
            None => Value::Between(self.at(n)),
        }
    }

    /// The most by which a point's median lies off the line, as a share of the greatest median.
    pub fn off(&self) -> f64 {
        let greatest = self.points.iter().map(|p| p.median.abs()).fold(0.0, f64::max);
        let off = self.points.iter().map(|p| (p.median - self.at(p.n)).abs()).fold(0.0, f64::max);
        if greatest == 0.0 { 0.0 } else { off / greatest }
    }
}

/// The most by which repeats of one point lie apart, as a share of its median; where that is 0, of the greatest.
pub fn apart(points: &[Point]) -> f64 {
    let greatest = points.iter().map(|p| p.median.abs()).fold(0.0, f64::max);
    let one = |p: &Point| match if p.median == 0.0 { greatest } else { p.median.abs() } {
        0.0 => 0.0,
        whole => (p.most - p.least) / whole,
    };
    points.iter().map(one).fold(0.0, f64::max)
}
