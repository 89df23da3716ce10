package org.bramleylatch.bench;

import java.util.List;

/**
 * Is a straight line through measured points.
 *
 * @param intercept the value at size 0
 * @param slope the growth for each unit of size
 * @param relativeResidual the largest distance of a point from the line, as a part of the largest
 *     value
 */
record LinearFit(double intercept, double slope, double relativeResidual) {

    /** Returns the line with the least squared distances. */
    static LinearFit of(List<Point> points) {
        double n = points.size();
        double meanSize = points.stream().mapToDouble(Point::size).sum() / n;
        double meanValue = points.stream().mapToDouble(Point::value).sum() / n;
        double covariance =
                points.stream().mapToDouble(p -> (p.size - meanSize) * (p.value - meanValue)).sum();
        double variance = points.stream().mapToDouble(p -> Math.pow(p.size - meanSize, 2)).sum();
        double slope = covariance / variance;
        double base = meanValue - slope * meanSize;
        double largest = points.stream().mapToDouble(p -> Math.abs(p.value)).max().orElse(1);
        double residual =
                points.stream()
                        .mapToDouble(p -> Math.abs(p.value - base - slope * p.size))
                        .max()
                        .orElse(0);
        return new LinearFit(base, slope, residual / largest);
    }

    /** Is one measured value. */
    record Point(double size, double value) {}
}
