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

/** Maps each command of bramleylatchctl to what it does. */
final class Commands {
    private static final Map<String, Command> TABLE = table();

    private Commands() {}

    /** Runs the command that the words begin with. */
    static void run(CtlOptions options) {
        List<String> words = options.words;
        String two = words.size() > 1 ? words.get(0) + " " + words.get(1) : "";
        String name = TABLE.containsKey(two) ? two : words.get(0);
        Command command = TABLE.get(name);
        if (command == null) {
            throw new IllegalArgumentException("no command " + name + "\n" + usage());
        }
        List<String> rest = words.subList(name.equals(two) ? 2 : 1, words.size());
        if (rest.size() < command.arguments) {
            throw new IllegalArgumentException("usage: " + name + " " + command.usage);
        }
        command.action.accept(options, rest);
    }

    /** Returns a line for each command. */
    static String usage() {
        StringBuilder text = new StringBuilder("usage: bramleylatchctl [options] COMMAND\n");
        TABLE.forEach(
                (name, command) ->
                        text.append(
                                String.format(
                                        "  %-46s %s%n", name + " " + command.usage, command.help)));
        return text.toString();
    }

    private static Map<String, Command> table() {
        Map<String, Command> table = new LinkedHashMap<>();
        table.put("budget list", new Command("", 0, "show all budgets", Commands::listBudgets));
        table.put("budget show", new Command("BUDGET", 1, "show one", Commands::showBudget));
        table.put(
                "budget create",
                new Command("BUDGET WORKSPACE", 2, "create one", Commands::createBudget));
        table.put("budget top-up", new Command("BUDGET TOKENS", 2, "pay in", Commands::topUp));
        table.put(
                "budget reconcile",
                new Command("", 0, "fold the log anew and compare", Reconcile::run));
        table.put("holder freeze", new Command("HOLDER", 1, "freeze shares", Commands::freeze));
        table.put(
                "holder release",
                new Command("BUDGET HOLDER", 2, "free a frozen share", Commands::release));
        table.put("section list", new Command("", 0, "show the sections", Commands::listSections));
        table.put(
                "section put",
                new Command("SECTION FILE", 2, "replace a section", Commands::putSection));
        table.put("move list", new Command("", 0, "show the moves", Commands::listMoves));
        table.put("move begin", new Command("FILE", 1, "begin a move", Commands::beginMove));
        table.put("move take-back", new Command("ROUTE", 1, "end a move", Commands::takeBack));
        table.put(
                "timeline",
                new Command("FILE...", 1, "merge the files of many processes", Timelines::run));
        return table;
    }

    private static void listBudgets(CtlOptions options, List<String> words) {
        System.out.println(AdminClient.of(options).get("/budgets"));
    }

    private static void showBudget(CtlOptions options, List<String> words) {
        System.out.println(AdminClient.of(options).get("/budgets/" + words.get(0)));
    }

    private static void createBudget(CtlOptions options, List<String> words) {
        String body = Json.write(Map.of("budget", words.get(0), "workspace", words.get(1)));
        System.out.println(AdminClient.of(options).post("/budgets", body));
    }

    private static void topUp(CtlOptions options, List<String> words) {
        String body = "{\"tokens\":" + words.get(1) + "}";
        String path = "/budgets/" + words.get(0) + "/top-ups";
        System.out.println(AdminClient.of(options).post(path, body));
    }

    private static void freeze(CtlOptions options, List<String> words) {
        String path = "/holders/" + words.get(0) + "/freeze";
        System.out.println(AdminClient.of(options).post(path, "{}"));
    }

    private static void release(CtlOptions options, List<String> words) {
        String path = "/budgets/" + words.get(0) + "/holders/" + words.get(1) + "/release";
        System.out.println(AdminClient.of(options).post(path, "{}"));
    }

    private static void listSections(CtlOptions options, List<String> words) {
        System.out.println(AdminClient.of(options).get("/sections"));
    }

    private static void putSection(CtlOptions options, List<String> words) {
        String body = read(words.get(1));
        System.out.println(AdminClient.of(options).put("/sections/" + words.get(0), body));
    }

    private static void listMoves(CtlOptions options, List<String> words) {
        System.out.println(AdminClient.of(options).get("/moves"));
    }

    private static void beginMove(CtlOptions options, List<String> words) {
        System.out.println(AdminClient.of(options).post("/moves", read(words.get(0))));
    }

    private static void takeBack(CtlOptions options, List<String> words) {
        String path = "/moves/" + words.get(0) + "/take-back";
        System.out.println(AdminClient.of(options).post(path, "{}"));
    }

    private static String read(String file) {
        try {
            return Files.readString(Path.of(file));
        } catch (IOException unreadable) {
            throw new UncheckedIOException(unreadable);
        }
    }

    private record Command(
            String usage,
            int arguments,
            String help,
            BiConsumer<CtlOptions, List<String>> action) {}
}
