package org.bramleylatch.gateway;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.bramleylatch.core.EventKind;
import org.slf4j.LoggerFactory;

/** Records the lines that a gateway in this process writes to its event log. */
final class RecordedEvents extends AppenderBase<ILoggingEvent> {
    private static final Pattern DETAIL = Pattern.compile("\"detail\":\"([^\"]*)\"");
    private static final long POLL_MILLIS = 20;

    private final List<String> lines = new CopyOnWriteArrayList<>();

    /** Starts to record. */
    static RecordedEvents startRecording() {
        RecordedEvents recorded = new RecordedEvents();
        recorded.start();
        logger().addAppender(recorded);
        return recorded;
    }

    void stopRecording() {
        logger().detachAppender(this);
    }

    /** Waits for a number of lines of a kind that hold a text, and returns their details. */
    List<String> await(EventKind kind, String text, int count) throws InterruptedException {
        while (details(kind, text).size() < count) {
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
        return details(kind, text);
    }

    /** Returns the number of lines of a kind whose details hold a text. */
    int count(EventKind kind, String text) {
        return details(kind, text).size();
    }

    /** Returns the details of the lines that tell how many others were dropped. */
    List<String> droppedLines() {
        return details("LINES_DROPPED", "");
    }

    @Override
    protected void append(ILoggingEvent event) {
        lines.add(event.getFormattedMessage());
    }

    private List<String> details(EventKind kind, String text) {
        return details(kind.name(), text);
    }

    private List<String> details(String kind, String text) {
        return lines.stream()
                .filter(line -> line.contains("\"event\":\"" + kind + "\""))
                .map(DETAIL::matcher)
                .filter(Matcher::find)
                .map(found -> found.group(1))
                .filter(detail -> detail.contains(text))
                .toList();
    }

    private static Logger logger() {
        return (Logger) LoggerFactory.getLogger("events");
    }
}
