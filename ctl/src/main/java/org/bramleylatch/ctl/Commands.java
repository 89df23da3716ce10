package org.bramleylatch.ctl;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.bramleylatch.wire.Json;

/** Maps each command of bramleylatchctl to its action. */
final class Commands {
    private static final Map<String, Command> COMMANDS = commands();

    private Commands() {}

    /**
     * Runs the command named by the first one or two words; raises IllegalArgumentException if it
     * is unknown or lacks arguments.
     */
    static void run(CtlOptions options) {
        List<String> words = options.words;
        String twoWordName = words.size() > 1 ? words.get(0) + " " + words.get(1) : "";
        String name = COMMANDS.containsKey(twoWordName) ? twoWordName : words.get(0);
        Command command = COMMANDS.get(name);
        if (command == null) {
            throw new IllegalArgumentException("unknown command " + name + "\n" + usage());
        }
        List<String> arguments = words.subList(name.equals(twoWordName) ? 2 : 1, words.size());
        if (arguments.size() < command.minArguments) {
            throw new IllegalArgumentException("usage: " + name + " " + command.argumentNames);
        }
        command.action.accept(options, arguments);
    }

    /** Describes the command line, with one line for each command. */
    static String usage() {
        StringBuilder text = new StringBuilder("usage: bramleylatchctl [options] COMMAND\n");
        COMMANDS.forEach(
                (name, command) ->
                        text.append(
                                String.format(
                                        "  %-46s %s%n",
                                        name + " " + command.argumentNames, command.description)));
        return text.toString();
    }

    private static Map<String, Command> commands() {
        Map<String, Command> table = new LinkedHashMap<>();
        table.put("budget list", new Command("", 0, "list all budgets", Commands::listBudgets));
        table.put("budget show", new Command("BUDGET", 1, "show one budget", Commands::showBudget));
        table.put(
                "budget create",
                new Command("BUDGET WORKSPACE", 2, "create a budget", Commands::createBudget));
        table.put(
                "budget top-up",
                new Command("BUDGET TOKENS", 2, "add tokens to a budget", Commands::topUp));
        table.put(
                "budget reconcile",
                new Command("", 0, "compare all budgets with the log", Reconciliation::run));
        table.put(
                "holder freeze",
                new Command("HOLDER", 1, "freeze all grants of a holder", Commands::freeze));
        table.put(
                "holder release",
                new Command("BUDGET HOLDER", 2, "return a frozen grant", Commands::release));
        table.put(
                "section list",
                new Command("", 0, "list the configuration sections", Commands::listSections));
        table.put(
                "section put",
                new Command("SECTION FILE", 2, "replace a section", Commands::putSection));
        table.put(
                "move list",
                new Command(
                        "", 0, "list the latest planned move of each route", Commands::listMoves));
        table.put(
                "move begin", new Command("FILE", 1, "begin a planned move", Commands::beginMove));
        table.put(
                "move take-back",
                new Command("ROUTE", 1, "take a planned move back", Commands::takeBack));
        table.put(
                "timeline", new Command("FILE...", 1, "merge timeline files", TimelineMerger::run));
        return table;
    }

    private static void listBudgets(CtlOptions options, List<String> arguments) {
        System.out.println(AdminClient.of(options).get("/budgets"));
    }

    private static void showBudget(CtlOptions options, List<String> arguments) {
        System.out.println(AdminClient.of(options).get("/budgets/" + arguments.get(0)));
    }

    private static void createBudget(CtlOptions options, List<String> arguments) {
        String body = Json.write(Map.of("budget", arguments.get(0), "workspace", arguments.get(1)));
        System.out.println(AdminClient.of(options).post("/budgets", body));
    }

    private static void topUp(CtlOptions options, List<String> arguments) {
        String body = "{\"tokens\":" + arguments.get(1) + "}";
        String path = "/budgets/" + arguments.get(0) + "/top-ups";
        System.out.println(AdminClient.of(options).post(path, body));
    }

    private static void freeze(CtlOptions options, List<String> arguments) {
        String path = "/holders/" + arguments.get(0) + "/freeze";
        System.out.println(AdminClient.of(options).post(path, "{}"));
    }

    private static void release(CtlOptions options, List<String> arguments) {
        String path = "/budgets/" + arguments.get(0) + "/holders/" + arguments.get(1) + "/release";
        System.out.println(AdminClient.of(options).post(path, "{}"));
    }

    private static void listSections(CtlOptions options, List<String> arguments) {
        System.out.println(AdminClient.of(options).get("/sections"));
    }

    private static void putSection(CtlOptions options, List<String> arguments) {
        String body = readFile(arguments.get(1));
        System.out.println(AdminClient.of(options).put("/sections/" + arguments.get(0), body));
    }

    private static void listMoves(CtlOptions options, List<String> arguments) {
        System.out.println(AdminClient.of(options).get("/moves"));
    }

    private static void beginMove(CtlOptions options, List<String> arguments) {
        System.out.println(AdminClient.of(options).post("/moves", readFile(arguments.get(0))));
    }

    private static void takeBack(CtlOptions options, List<String> arguments) {
        String path = "/moves/" + arguments.get(0) + "/take-back";
        System.out.println(AdminClient.of(options).post(path, "{}"));
    }

    private static String readFile(String file) {
        try {
            return Files.readString(Path.of(file));
        } catch (IOException unreadable) {
            throw new UncheckedIOException(unreadable);
        }
    }

    private record Command(
            String argumentNames,
            int minArguments,
            String description,
            BiConsumer<CtlOptions, List<String>> action) {}
}
