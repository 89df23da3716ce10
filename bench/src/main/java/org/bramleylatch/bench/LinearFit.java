package org.bramleylatch.bench;

import java.util.List;

/**
 * Describes the straight line that fits measured points best.
 *
 * @param intercept the value at size 0
 * @param slope the increase of the value per unit of size
 * @param relativeResidual the largest deviation of a point from the line, as a fraction of the
 *     largest absolute value
 */
record LinearFit(double intercept, double slope, double relativeResidual) {

    /** Fits a line by least squares; the points must have at least two different sizes. */
    static LinearFit of(List<Point> points) {
        double n = points.size();
        double meanSize = points.stream().mapToDouble(Point::size).sum() / n;
        double meanValue = points.stream().mapToDouble(Point::value).sum() / n;
        double covariance =
                points.stream().mapToDouble(p -> (p.size - meanSize) * (p.value - meanValue)).sum();
        double variance = points.stream().mapToDouble(p -> Math.pow(p.size - meanSize, 2)).sum();
        double slope = covariance / variance;
        double intercept = meanValue - slope * meanSize;
        double largestValue = points.stream().mapToDouble(p -> Math.abs(p.value)).max().orElse(1);
        double residual =
                points.stream()
                        .mapToDouble(p -> Math.abs(p.value - intercept - slope * p.size))
                        .max()
                        .orElse(0);
        return new LinearFit(intercept, slope, residual / largestValue);
    }

    /** Holds the value measured at one size. */
    record Point(double size, double value) {}
}
