package org.bramleylatch.gateway;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.Appender;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;

/**
 * Configures Logback for the gateway: events go through a bounded queue that never blocks, other
 * log lines are written directly as text. Parsing a configuration file would delay each start.
 * Logback loads this class as a service in every daemon, so it does nothing unless the system
 * property {@code bramleylatch.gateway.log} is set.
 */
public final class LogbackConfigurator extends ContextAwareBase implements Configurator {
    /** The system property that enables this configuration, with any value. */
    private static final String ENABLING_PROPERTY = "bramleylatch.gateway.log";

    /** Holds several seconds of lines at the limit of lines per second in the settings. */
    private static final int QUEUE_LINES = 2_048;

    @Override
    public ExecutionStatus configure(LoggerContext loggers) {
        if (System.getProperty(ENABLING_PROPERTY) == null) {
            return ExecutionStatus.INVOKE_NEXT_IF_ANY;
        }
        AsyncAppender queue = new AsyncAppender();
        queue.setContext(loggers);
        queue.setQueueSize(QUEUE_LINES);
        queue.setNeverBlock(true);
        queue.setDiscardingThreshold(0);
        queue.addAppender(console(loggers, "%msg%n"));
        queue.start();
        Logger events = loggers.getLogger("events");
        events.setAdditive(false);
        events.addAppender(queue);
        Logger root = loggers.getLogger(Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.INFO);
        root.addAppender(console(loggers, "%-5level %logger{0} %msg%n"));
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }

    private static Appender<ILoggingEvent> console(LoggerContext loggers, String pattern) {
        PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setContext(loggers);
        encoder.setPattern(pattern);
        encoder.start();
        ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
        console.setContext(loggers);
        console.setEncoder(encoder);
        console.start();
        return console;
    }
}
