package org.bramleylatch.ctl;

import java.util.List;
import java.util.stream.Collectors;
import org.bramleylatch.core.Incarnation;
import org.bramleylatch.wire.TimelineLine;

/**
 * Renders a merged timeline as one self-contained HTML page with a lane for each process
 * incarnation. All sizes are in pixels.
 */
final class TimelinePage {
    private static final int LANE_WIDTH = 220;
    private static final int ROW_HEIGHT = 16;
    private static final int HEADER_HEIGHT = 40;
    private static final int TIME_COLUMN_WIDTH = 100;

    private TimelinePage() {}

    /** Renders the page; the lines must be in causal order. */
    static String render(List<TimelineLine> lines) {
        List<Incarnation> lanes =
                lines.stream().map(TimelineLine::incarnation).distinct().sorted().toList();
        int width = TIME_COLUMN_WIDTH + lanes.size() * LANE_WIDTH;
        int height = HEADER_HEIGHT + lines.size() * ROW_HEIGHT;
        StringBuilder svg = new StringBuilder();
        for (int lane = 0; lane < lanes.size(); lane++) {
            svg.append(
                    textElement(
                            laneX(lane),
                            ROW_HEIGHT,
                            lanes.get(lane).value(),
                            lanes.get(lane).value()));
            svg.append(verticalLine(laneX(lane) - 4, height));
        }
        for (int row = 0; row < lines.size(); row++) {
            svg.append(rowElements(lines.get(row), row, lanes));
        }
        return "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">"
                + "<title>Timeline</title>"
                + "<style>text{font:11px sans-serif}</style></head><body><svg width=\""
                + width
                + "\" height=\""
                + height
                + "\" xmlns=\"http://www.w3.org/2000/svg\">"
                + svg
                + "</svg></body></html>\n";
    }

    private static String rowElements(TimelineLine line, int row, List<Incarnation> lanes) {
        int y = HEADER_HEIGHT + row * ROW_HEIGHT;
        String label = line.event().kind() + " " + line.event().subject();
        String title = label + " " + line.event().detail();
        return textElement(0, y, String.format("%tT.%<tL", line.millis()), "")
                + textElement(laneX(lanes.indexOf(line.incarnation())), y, label, title);
    }

    private static int laneX(int lane) {
        return TIME_COLUMN_WIDTH + lane * LANE_WIDTH;
    }

    private static String verticalLine(int x, int height) {
        return "<line stroke=\"#ccc\" x1=\"" + x + "\" x2=\"" + x + "\" y2=\"" + height + "\"/>";
    }

    private static String textElement(int x, int y, String label, String title) {
        String shortLabel = label.length() > 38 ? label.substring(0, 38) : label;
        return "<text x=\""
                + x
                + "\" y=\""
                + y
                + "\">"
                + escape(shortLabel)
                + "<title>"
                + escape(title)
                + "</title></text>";
    }

    private static String escape(String text) {
        return text.chars()
                .mapToObj(c -> c == '<' ? "&lt;" : c == '&' ? "&amp;" : String.valueOf((char) c))
                .collect(Collectors.joining());
    }
}
