//! Least-squares fit of a line through measured points.

/// A measured value at a size.
#[derive(Debug, Clone, Copy)]
pub struct Point {
    pub size: f64,
    pub value: f64,
}

/// `value = base + slope * size`.
#[derive(Debug, Clone, Copy)]
pub struct Line {
    /// The value at size 0.
    pub base: f64,
    /// Increase of the value per unit of size.
    pub slope: f64,
}

impl Line {
    /// The line with the least sum of squared residuals.
    fn through(points: &[Point]) -> Line {
        #[expect(clippy::cast_precision_loss, reason = "a handful of points")]
        let count = points.len() as f64;
        let mean_size = points.iter().map(|p| p.size).sum::<f64>() / count;
        let mean_value = points.iter().map(|p| p.value).sum::<f64>() / count;
        let squared_deviations: f64 = points.iter().map(|p| (p.size - mean_size).powi(2)).sum();
        let products = points
            .iter()
            .map(|p| (p.size - mean_size) * (p.value - mean_value));
        let slope = products.sum::<f64>() / squared_deviations;
        Line {
            base: mean_value - slope * mean_size,
            slope,
        }
    }

    fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}

/// Prints the points, the line through them and the residuals.
pub fn print(name: &str, unit: &str, points: &[Point]) {
    let line = Line::through(points);
    println!(
        "{name}, {unit}: {:.2} + {:.5} per unit of size",
        line.base, line.slope
    );
    for point in points {
        println!(
            "  at {:8} {:12.2}  residual {:10.2}",
            point.size,
            point.value,
            point.value - line.at(point.size)
        );
    }
}
