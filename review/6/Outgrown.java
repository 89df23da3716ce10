import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Kills all machines at the same time, once. The ledger keeps rows of every process that ever
 * held tokens, and a part of a snapshot grows with them, until the store refuses it as too large.
 */
final class Outgrown extends Scene {
    private static final String[] ZONES = {
        "langnau", "burgdorf", "huttwil", "sumiswald", "trubschachen"
    };
    private static final int TENANTS = 400;
    private static final int CLIENTS_PER_VM = 16;
    private static final long PERIOD_MILLIS = 5_000;
    private static final long BEFORE_MILLIS = 4_000;

    /** The site's recoveryS. */
    private static final long RECOVERY_MILLIS = 15_000;
    private static final long MEASURED_MILLIS = 45_000;

    public static void main(String[] arguments) throws Exception {
        main(new Outgrown(), arguments);
    }

    @Override
    boolean isBroken() throws Exception {
        configure(3, TENANTS, 900_000_000L);
        for (int i = 0; i < 8; i++) {
            backs.add(
                    new Engine(store, record, "i-llm-" + i, "llm", ZONES[i % ZONES.length], "v1", 5));
        }
        for (String zone : ZONES) {
            addVm(zone);
        }
        startAll();
        Map<String, Integer> before = counts();
        sendOneForEachTenant(before);
        load(before, BEFORE_MILLIS, false);
        record.say("before: " + before);
        if (trouble) {
            killAll();
        }
        Map<String, Integer> early = counts();
        sendOneForEachTenant(early);
        load(early, RECOVERY_MILLIS, false);
        record.say("in the next " + RECOVERY_MILLIS + " ms: " + early);
        Map<String, Integer> judged = counts();
        load(judged, MEASURED_MILLIS, true);
        int sent = judged.values().stream().mapToInt(Integer::intValue).sum();
        int served = judged.getOrDefault("200", 0);
        record.say("later: " + judged + ", served " + served + " of " + sent);
        record.say("appends refused for their size: " + store.refusedForSize());
        return served * 4 < sent;
    }

    private void killAll() throws Exception {
        for (Vm vm : vms) {
            vm.kill();
        }
        for (Vm vm : vms) {
            vm.start();
        }
        for (Vm vm : vms) {
            vm.awaitReady(25_000);
        }
        record.note("all machines are ready again");
    }

    private void sendOneForEachTenant(Map<String, Integer> results) throws InterruptedException {
        List<Runnable> clients = new ArrayList<>();
        for (Vm vm : vms) {
            for (int client = 0; client < CLIENTS_PER_VM; client++) {
                int first = client;
                clients.add(
                        () -> {
                            for (int i = first; i < TENANTS; i += CLIENTS_PER_VM) {
                                String id = newId();
                                countInto(results, send(vm, id, chat(id, i, 826, 40)));
                            }
                        });
            }
        }
        runAll(clients);
    }

    /** Sends requests of each tenant to each machine at a steady pace, with long or short prompts. */
    private void load(Map<String, Integer> results, long millis, boolean isLong)
            throws InterruptedException {
        long endMillis = record.millis() + millis;
        List<Runnable> clients = new ArrayList<>();
        for (Vm vm : vms) {
            for (int i = 0; i < TENANTS; i++) {
                int tenant = i;
                clients.add(() -> sendSteadily(vm, tenant, results, endMillis, isLong));
            }
        }
        runAll(clients);
    }

    private void sendSteadily(
            Vm vm, int tenant, Map<String, Integer> results, long endMillis, boolean isLong) {
        try {
            sleep((long) (Math.random() * PERIOD_MILLIS), endMillis);
            while (record.millis() < endMillis) {
                String id = newId();
                String request = isLong ? chat(id, tenant, 9_190, 52) : chat(id, tenant, 826, 40);
                countInto(results, send(vm, id, request));
                sleep(PERIOD_MILLIS, endMillis);
            }
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }
}
