import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A server breaks off some of its answers; some are cut inside their heads. */
public final class Case2 {

  /** The page's dose of broken answers: one in fifty of those of the faulty server. */
  private static final int ANSWERS_PER_CUT = 50;

  /** The server is faulty for some seconds, and sound for two, again and again. */
  private static final long TROUBLE_MS = 6_000;

  private static final long PERIOD_MS = 8_000;

  /** Where the answers are cut in turn: at the end of one of these texts. */
  private static final String[] CUT_AFTER = {
    "Content-Type: application/oct", "answer to ", "HTTP/1.1 20"
  };

  public static void main(String[] args) throws Exception {
    Kit.main(args, Case2::play);
  }

  private static int play(Kit.Record record, boolean trouble) throws Exception {
    Site site = new Site(record);
    AtomicInteger answers = new AtomicInteger();
    AtomicInteger cuts = new AtomicInteger();
    Map<String, String> cutAnswers = new ConcurrentHashMap<>();
    site.addServer("i-app-1", Site.CONSOLE, 0, 6, Site.plain(10));
    site.addServer("i-app-3", Site.CONSOLE, 0, 6, Site.plain(10));
    site.addServer(
        "i-app-2",
        Site.CONSOLE,
        0,
        6,
        (server, request, socket) -> {
          Kit.sleep(10);
          String body = Site.body(request.id());
          String whole = server.head(request.id(), body.length()) + body;
          boolean faulty = trouble && Kit.now() % PERIOD_MS < TROUBLE_MS;
          if (!faulty || answers.incrementAndGet() % ANSWERS_PER_CUT != 0) {
            socket.getOutputStream().write(Kit.bytes(whole));
            return true;
          }
          String place = CUT_AFTER[cuts.getAndIncrement() % CUT_AFTER.length];
          int length = whole.indexOf(place) + place.length();
          String sent = whole.substring(0, length);
          cutAnswers.put(
              request.id(),
              length
                  + " of "
                  + whole.length()
                  + " bytes, ending in '"
                  + sent.substring(Math.max(0, length - 24)).replace("\r\n", "\\r\\n")
                  + "'");
          socket.getOutputStream().write(Kit.bytes(sent));
          return false;
        });
    site.publish(List.of(Site.KEY));
    Kit.Daemon daemon = site.startDaemon();
    List<String> broken = new ArrayList<>();
    AtomicInteger served = new AtomicInteger();
    AtomicInteger failed = new AtomicInteger();
    long endMs = Kit.now() + 40_000;
    List<Thread> threads = new ArrayList<>();
    for (int user = 0; user < 4; user++) {
      String name = "c" + user;
      threads.add(
          Kit.spawn(
              () -> {
                Kit.Client client = null;
                for (int i = 0; Kit.now() < endMs && (!trouble || cuts.get() < 12); i++) {
                  String id = name + String.format("%012x", i);
                  try {
                    client = client == null ? new Kit.Client(daemon.frontend) : client;
                    boolean read = i % 2 == 0;
                    Kit.Answer answer =
                        client.call(
                            Kit.request(
                                read ? "GET" : "POST",
                                (read ? "/leitura/" : "/cobranca/") + i,
                                id,
                                2_000,
                                Site.KEY,
                                "",
                                read ? new byte[0] : new byte[600]),
                            3_000);
                    record.add("sent: %s %s; answered: %s", read ? "GET" : "POST", id, answer);
                    if (!answer.complete || answer.header("Connection").equals("close")) {
                      client.close();
                      client = null;
                    }
                    Kit.sleep(20);
                    if (answer.status / 100 != 2) {
                      failed.incrementAndGet();
                      continue;
                    }
                    served.incrementAndGet();
                    boolean stamped =
                        site.servers.values().stream()
                            .anyMatch(
                                s ->
                                    s.stamp(id).equals(answer.header("X-Zinniaspan-Server-Stamp")));
                    if (answer.complete && (!stamped || !answer.text().equals(Site.body(id)))) {
                      String line =
                          (read ? "GET " : "POST ")
                              + id
                              + ": client got "
                              + answer
                              + "; the server had sent "
                              + cutAnswers.getOrDefault(id, "a whole answer");
                      synchronized (broken) {
                        broken.add(line);
                      }
                    }
                  } catch (java.io.IOException e) {
                    failed.incrementAndGet();
                    client = null;
                  }
                }
              }));
    }
    for (Thread thread : threads) {
      thread.join();
    }
    site.recordRuns();
    record.add(
        "answers of the server while it was faulty: %d, of which broken off: %d",
        answers.get(), cuts.get());
    record.add("requests answered 2xx: %d, others: %d", served.get(), failed.get());
    record.add("2xx that were not the server's whole answer: %d", broken.size());
    broken.forEach(line -> record.add("MIXED %s", line));
    return served.get() < 500 ? 2 : broken.isEmpty() ? 0 : 1;
  }
}
