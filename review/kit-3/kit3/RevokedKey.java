package kit3;

import java.util.ArrayList;
import java.util.List;

/**
 * A key is taken away. Some seconds later one VM is killed and starts again, while the store comes
 * back from a copy that is older than the change, until the operator has written it again. The VM
 * is the one of the two that calls the store; which one that is depends on their addresses.
 */
final class RevokedKey {

  private static final String ZONE = "brest-quai";
  private static final String KEPT = "n2ctnfzs989anu6wsjnb";
  private static final String TAKEN = "k7p2wd81xxq0c4r9te5h";
  private static final long COPY_BEFORE_MS = 300;
  private static final long AWAY_MS = 3_700;
  private static final long BACK_MS = 4_100;
  private static final long WRITTEN_AGAIN_MS = BACK_MS + 1_900;
  private static final long END_MS = 8_500;
  private static final long REQUEST_PAUSE_MS = 50;

  private static volatile boolean done;

  public static void main(String[] args) {
    Site.main(args[0], RevokedKey::run);
  }

  private static String configuration(int version, List<String> keys) {
    return Configuration.json(
        version, keys, Configuration.route("deploiement", "unsafe", "console-agences", 800, 1));
  }

  private static boolean run(Site site) throws Exception {
    List<Server> servers = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      Server server = new Server(site.record, site.ip(50), "i-" + i, "console-agences", "v1", 21, 0, 0);
      servers.add(server);
      site.store.put("servers/" + server.id, server.entry(ZONE, "ready"));
    }
    site.store.put("op/config", configuration(3, List.of(KEPT, TAKEN)));
    List<Link> links = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      links.add(new Link(site.ip(10 + i), site.store.address()));
      site.addVm("vm-" + (i + 1), ZONE, links.get(i));
    }
    site.startVms();
    Server.sleep(Site.CONTACT_MS);
    for (Vm vm : site.vms) {
      Listener.start(() -> send(site, vm, KEPT, "k"));
      Listener.start(() -> send(site, vm, TAKEN, "t"));
    }
    Server.sleep(1_000);
    final Store.Copy copy = site.store.copy();
    Server.sleep(COPY_BEFORE_MS);
    final long[] sentBytes = {links.get(0).sentBytes(), links.get(1).sentBytes()};
    final long takenMs = site.store.put("op/config", configuration(7, List.of(KEPT)));
    site.record.line("the store acknowledges version 7, without the key %s", TAKEN);
    sleepUntil(takenMs + AWAY_MS);
    for (int i = 0; i < 2; i++) {
      sentBytes[i] = links.get(i).sentBytes() - sentBytes[i];
      site.record.line("%s has sent %d bytes to the store since", site.vms.get(i).name, sentBytes[i]);
    }
    if (site.trouble) {
      Vm restarted = site.vms.get(sentBytes[0] > sentBytes[1] ? 0 : 1);
      site.store.goAway();
      site.record.line("the store is away");
      restarted.kill();
      sleepUntil(takenMs + BACK_MS);
      restarted.start();
      site.store.comeBack(copy);
      site.record.line("the store is back from a copy of %d ms before the change", COPY_BEFORE_MS);
      sleepUntil(takenMs + WRITTEN_AGAIN_MS);
      site.store.put("op/config", configuration(7, List.of(KEPT)));
      site.record.line("the operator has written version 7 again");
    }
    sleepUntil(takenMs + END_MS);
    done = true;
    Server.sleep(1_000);
    return judge(site, servers, takenMs);
  }

  private static void send(Site site, Vm vm, String key, String prefix) {
    for (int number = 1; !done; number++) {
      String attempt = String.format("%s-%s-%08d-", prefix, vm.name, number) + Record.now();
      site.record.line("client sends %s with key %s to %s", attempt, key, vm.name);
      Listener.start(
          () -> {
            Client.Answer answer =
                Client.call(
                    vm.frontend, Configuration.head("POST", "deploiement", attempt, key), "x".repeat(100), 800);
            site.record.line("client gets %d for %s %s", answer.status(), attempt, answer.error());
          });
      Server.sleep(REQUEST_PAUSE_MS);
    }
  }

  private static boolean judge(Site site, List<Server> servers, long takenMs) {
    int kept = 0;
    int late = 0;
    for (Server server : servers) {
      for (Server.Run run : server.runs) {
        long sentMs = Long.parseLong(run.attempt().substring(run.attempt().lastIndexOf('-') + 1));
        if (run.attempt().startsWith("k")) {
          kept++;
        } else if (sentMs > takenMs + Site.REVOKE_MS) {
          late++;
          site.record.line(
              "LATE: %s was sent %d ms after the key was taken away, and ran for %s",
              run.attempt(), sentMs - takenMs, run.tenant());
        }
      }
    }
    site.record.say("requests with the key that stays that ran: %d", kept);
    site.record.say("requests with the key that was taken away that were sent later than revoke_ms and ran: %d", late);
    if (kept < 50) {
      throw new IllegalStateException("hardly any request ran");
    }
    return late > 0;
  }

  private static void sleepUntil(long ms) {
    Server.sleep(ms - Record.now());
  }
}
