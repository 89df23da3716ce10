import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A part of a prompt crashes each server that begins to write an answer on it: after the first
 * event. Requests with that part come now and then, no two alike.
 */
final class Poisoned extends Scene {
    private static final String[] ZONES = {"langnau", "burgdorf", "huttwil"};
    private static final String BAD_PART = "bad0bad0";
    private static final int SERVERS = 10;
    private static final int TENANTS = 4;
    private static final int CLIENTS_PER_VM = 8;
    private static final long DOWN_MILLIS = 3_000;
    private static final long BAD_EVERY_MILLIS = 1_500;
    private static final long LENGTH_MILLIS = 40_000;
    private static final int EVENTS = 1;

    /** The site's stableMs. */
    private static final long STABLE_MILLIS = 3_000;

    private static final int ALLOWED = 3;

    private final Map<String, Integer> sound = counts();
    private final Map<String, Integer> bad = counts();
    private final List<Long> crashes = new ArrayList<>();
    private final List<Long> arrivals = new ArrayList<>();
    private volatile boolean ended;

    public static void main(String[] arguments) throws Exception {
        main(new Poisoned(), arguments);
    }

    /** Stand-in of a model server that crashes once it has begun an answer on the bad part. */
    private final class Crashing extends Engine {
        Crashing(String id, String zone) throws IOException {
            super(Poisoned.this.store, Poisoned.this.record, id, "llm", zone, "v1", 10);
        }

        @Override
        void run(Request request, OutputStream out) throws IOException, InterruptedException {
            if (!request.headers().getOrDefault("prompt-prefix", "").contains(BAD_PART)) {
                super.run(request, out);
                return;
            }
            synchronized (crashes) {
                arrivals.add(Poisoned.this.record.millis());
            }
            int first =
                    1 + Integer.parseInt(request.headers().getOrDefault("last-event-id", "0"));
            begin(out, request);
            for (int event = first; event < first + EVENTS; event++) {
                writeEvent(out, event);
            }
            Thread.sleep(100);
            synchronized (crashes) {
                crashes.add(Poisoned.this.record.millis());
            }
            Poisoned.this.record.note(id + " crashes on " + request.id());
            daemon(this::crashAndReturn);
            Thread.sleep(1_000);
        }

        private void crashAndReturn() {
            try {
                crash(DOWN_MILLIS);
            } catch (IOException | InterruptedException failed) {
                Poisoned.this.record.say(id + " isn't back: " + failed);
            }
        }
    }

    @Override
    boolean isBroken() throws Exception {
        configure(3, TENANTS, 900_000_000L);
        for (int i = 0; i < SERVERS; i++) {
            backs.add(new Crashing("i-llm-" + i, ZONES[i % ZONES.length]));
        }
        for (String zone : ZONES) {
            addVm(zone);
        }
        startAll();
        Thread.sleep(2_000);
        for (Vm vm : vms) {
            for (int i = 0; i < CLIENTS_PER_VM; i++) {
                int tenant = i % TENANTS;
                Back.daemon(() -> sendSound(vm, tenant));
            }
        }
        Thread.sleep(3_000);
        long endMillis = record.millis() + LENGTH_MILLIS;
        for (int i = 0; record.millis() < endMillis; i++) {
            if (trouble) {
                Vm vm = vms.get(i % vms.size());
                Back.daemon(() -> sendBad(vm));
            }
            Thread.sleep(BAD_EVERY_MILLIS);
        }
        ended = true;
        Thread.sleep(1_000);
        record.say("sound requests: " + sound + ", requests with the bad part: " + bad);
        return tooManyArrivals();
    }

    private boolean tooManyArrivals() {
        synchronized (crashes) {
            if (crashes.size() < 5) {
                record.say("crashes: " + crashes.size());
                return false;
            }
            long fromMillis = crashes.get(4) + STABLE_MILLIS;
            long late = arrivals.stream().filter(millis -> millis > fromMillis).count();
            record.say("crashes: " + crashes.size() + ", requests with the bad part that reached"
                    + " servers later than " + STABLE_MILLIS + " ms after the fifth: " + late
                    + ", allowed are " + ALLOWED);
            return late > ALLOWED;
        }
    }

    private void sendSound(Vm vm, int tenant) {
        try {
            while (!ended) {
                String id = newId();
                countInto(sound, send(vm, id, chat(id, tenant, 826, 40)));
                Thread.sleep(150);
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends a request that shares its caller and its first part with sound ones. */
    private void sendBad(Vm vm) {
        String id = newId();
        String request =
                chat(id, 0, 826, 40)
                        .replace("e4402b7d:200", BAD_PART + ":100," + id.substring(0, 8) + ":100");
        countInto(bad, send(vm, id, request));
    }
}
