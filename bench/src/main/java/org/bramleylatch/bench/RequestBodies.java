package org.bramleylatch.bench;

import org.bramleylatch.edge.Digests;

/** Makes the bodies of requests that the demo, the measurements and the tests send. */
public final class RequestBodies {

    private RequestBodies() {}

    /** Returns the routes section: chats, stock lookups, and bookings, which must run only once. */
    public static String routes() {
        return """
            [
              {"name":"seilhelfer","kind":"CHAT","selector":"seilhelfer-1","backEnd":"seilhelfer",
               "repeatable":true,"costTokens":0,"shares":[]},
              {"name":"stock","kind":"SERVICE","selector":"/stock","backEnd":"ordnerei",
               "repeatable":true,"costTokens":0,"shares":[]},
              {"name":"bookings","kind":"SERVICE","selector":"/bookings","backEnd":"ordnerei",
               "repeatable":false,"costTokens":5,"shares":[]}
            ]
            """;
    }

    /** Returns the members section, with one member that pays from the demo budget. */
    public static String members() {
        return "[{\"keySha256\":\""
                + Digests.sha256(Deployment.MEMBER_KEY)
                + "\",\"budget\":\""
                + Deployment.BUDGET
                + "\",\"workspace\":\"dispatch\"}]";
    }

    /** Returns a chat request whose prompt repeats one sentence the given number of times. */
    public static String chat(int promptLines, int maxAnswerTokens, boolean isStreamed) {
        String prompt =
                "order 17: sisal, lay right, three strands, forty metres. ".repeat(promptLines);
        return "{\"model\":\"seilhelfer-1\",\"stream\":"
                + isStreamed
                + ",\"max_tokens\":"
                + maxAnswerTokens
                + ",\"messages\":[{\"role\":\"user\",\"content\":\""
                + prompt
                + "\"}]}";
    }
}
