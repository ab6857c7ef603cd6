package org.zinniaspan.configuration;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.commons.codec.digest.DigestUtils;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.clock.Ticking;
import org.zinniaspan.inventory.Finding;
import org.zinniaspan.inventory.VmEntry;
import org.zinniaspan.log.EventLog;
import org.zinniaspan.membership.Member;
import org.zinniaspan.membership.Membership;
import org.zinniaspan.peer.PeerHandler;
import org.zinniaspan.peer.PeerLink;
import org.zinniaspan.peer.proto.DocumentRevision;
import org.zinniaspan.peer.proto.Envelope;
import org.zinniaspan.peer.proto.Heartbeat;
import org.zinniaspan.peer.proto.MemberEntry;

/**
 * Replicates the documents that the platform publishes to this VM and announces them to its peers.
 *
 * <p>One reader in each availability zone watches the platform; the other VMs learn of a revision
 * from heartbeats and fetch the document from a peer. A VM reads the platform itself if its zone
 * has had no contact with the platform for some time, or if it has no complete configuration.
 * Digests of revisions are exchanged with VMs of other zones at a low rate.
 */
public final class ConfigurationFeed implements Ticking, PeerHandler {

  /** Role of the VM that watches the platform for its availability zone. */
  public static final String ROLE = "configuration";

  /** Number of VMs to which an address or a newly adopted revision is announced. */
  private static final int ANNOUNCEMENT_FAN_OUT = 4;

  /**
   * Time, in milliseconds, for which a VM that is not the reader reads the platform in fallback.
   */
  private static final long FALLBACK_DURATION_MS = 10_000;

  private final ConfigurationStore store;
  private final Membership membership;
  private final String zone;
  private final PeerLink link;
  private final FeedSettings settings;
  private final Clock clock;
  private final Executor adoptionExecutor;
  private final Random random;
  private final PlatformWatcher platformWatcher;
  private final PeerDocumentFetcher fetcher;
  private final DocumentSender sender;
  private final InitialDocumentBuffer initialDocuments;
  private final AtomicLong zonePlatformContactMs = new AtomicLong(Long.MIN_VALUE);
  private long fallbackUntilMs = Long.MIN_VALUE;
  private long fallbackAfterMs;
  private long nextRemoteExchangeMs;

  ConfigurationFeed(FeedDependencies dependencies) {
    this.store = dependencies.store();
    this.membership = dependencies.membership();
    this.zone = dependencies.zone();
    this.link = dependencies.link();
    this.settings = dependencies.settings();
    this.clock = dependencies.clock();
    this.adoptionExecutor = dependencies.adoptionExecutor();
    this.random = new Random(31 * settings.seed() + membership.self().vm().hashCode());
    this.fetcher =
        new PeerDocumentFetcher(
            store, link, clock, settings.remoteGraceMs(), document -> offer(document, "peer"));
    this.sender = new DocumentSender(store, link);
    this.initialDocuments = new InitialDocumentBuffer(store, fetcher, settings.initialWaitMs());
    this.platformWatcher =
        new PlatformWatcher(
            dependencies.platform(), store, settings, clock, random, this::onPlatformDocument);
    drawFallbackDelay();
  }

  /** Returns how many times the platform listed a revision lower than the one in force. */
  public long platformRegressions() {
    return platformWatcher.regressions();
  }

  /** Returns the milliseconds since this zone last had contact with the platform; -1 if never. */
  public long platformAgeMs() {
    long contactMs = Math.max(zonePlatformContactMs.get(), platformWatcher.lastResponseMs());
    return contactMs == Long.MIN_VALUE ? -1 : Math.max(0, clock.nowMs() - contactMs);
  }

  /**
   * Adds the revisions in force and the age of the last platform contact to a heartbeat.
   *
   * <p>The age is sent plus one millisecond; zero, the default of the field, stands for no contact.
   */
  public void addToHeartbeat(Heartbeat.Builder heartbeat) {
    store
        .current()
        .revisions()
        .forEach(
            (name, revision) ->
                heartbeat.addRevisions(
                    DocumentRevision.newBuilder().setName(name.label()).setRevision(revision)));
    heartbeat.setPlatformAgeMs(platformAgeMs() + 1);
  }

  @Override
  public void tick() {
    long now = clock.nowMs();
    platformWatcher.tick(() -> shouldReadPlatform(now));
    fetcher.tick();
    initialDocuments.removeDue(now).forEach(document -> offer(document, "platform"));
    exchangeWithOtherZones(now);
  }

  /** Returns whether this VM reads the platform now; starts the fallback if it is due. */
  private boolean shouldReadPlatform(long nowMs) {
    if (!store.current().isComplete() || isZoneReader() || nowMs < fallbackUntilMs) {
      return true;
    }
    long ageMs = platformAgeMs();
    if (ageMs >= 0 && ageMs < fallbackAfterMs) {
      return false;
    }
    fallbackUntilMs = nowMs + FALLBACK_DURATION_MS;
    drawFallbackDelay();
    EventLog.event("configuration-fallback").with("platformAgeMs", ageMs).info();
    return true;
  }

  /** Draws the fallback delay with jitter, so that the VMs of a zone do not start at once. */
  private void drawFallbackDelay() {
    fallbackAfterMs =
        settings.fallbackAfterMs() + random.nextInt((int) settings.fallbackJitterMs());
  }

  private boolean isZoneReader() {
    return membership.ownerOf(ROLE).vm().equals(membership.self().vm());
  }

  /**
   * Requests a digest from a VM of another zone, with a probability that makes one request per
   * period for the whole zone, or always while this VM has no complete configuration.
   */
  private void exchangeWithOtherZones(long nowMs) {
    if (nowMs < nextRemoteExchangeMs) {
      return;
    }
    nextRemoteExchangeMs = nowMs + settings.remotePeriodMs();
    if (random.nextInt(membership.live().size()) == 0 || !store.current().isComplete()) {
      requestDigestFromOneOf(listedPeers(false));
    }
  }

  private List<String> listedPeers(boolean ownZone) {
    String self = membership.self().vm();
    return store.current().vms().vms().stream()
        .filter(vm -> vm.isEntry() && vm.zone().equals(zone) == ownZone)
        .map(VmEntry::name)
        .filter(name -> !name.equals(self))
        .toList();
  }

  private void requestDigestFromOneOf(List<String> vms) {
    if (!vms.isEmpty()) {
      sendDigest(vms.get(random.nextInt(vms.size())), true);
    }
  }

  private void sendDigest(String vm, boolean replyWanted) {
    Heartbeat.Builder digest = Heartbeat.newBuilder().setReplyWanted(replyWanted);
    addToHeartbeat(digest);
    digest.clearPlatformAgeMs();
    link.send(vm, Envelope.newBuilder().setHeartbeat(digest));
  }

  @Override
  public void handle(Envelope message) {
    switch (message.getBodyCase()) {
      case HEARTBEAT -> onHeartbeat(message.getFromVm(), message.getHeartbeat());
      case DOCUMENT_REQUEST -> sender.sendPart(message.getFromVm(), message.getDocumentRequest());
      case DOCUMENT_PART -> fetcher.onPart(message.getDocumentPart());
      default -> {
        // Handled by other components.
      }
    }
  }

  private void onHeartbeat(String vm, Heartbeat heartbeat) {
    boolean ownZone = heartbeat.getEntriesCount() > 0 || membership.member(vm).isPresent();
    if (ownZone && heartbeat.getPlatformAgeMs() > 0) {
      long contactMs = clock.nowMs() - (heartbeat.getPlatformAgeMs() - 1);
      zonePlatformContactMs.accumulateAndGet(contactMs, Math::max);
    }
    for (DocumentRevision revision : heartbeat.getRevisionsList()) {
      fetcher.onRevision(vm, revision, ownZone);
      DocumentName.of(revision.getName()).ifPresent(initialDocuments::announced);
    }
    if (heartbeat.getReplyWanted() && heartbeat.getEntriesCount() == 0) {
      sendDigest(vm, false);
    }
  }

  private void onPlatformDocument(Document document) {
    adoptionExecutor.execute(() -> offerOrBuffer(document));
  }

  private void offerOrBuffer(Document document) {
    boolean noPeersListed = listedPeers(true).isEmpty() && listedPeers(false).isEmpty();
    if (!initialDocuments.bufferIfFirst(document, noPeersListed, clock.nowMs())) {
      offerNow(document, "platform");
    }
  }

  private void offer(Document document, String source) {
    adoptionExecutor.execute(() -> offerNow(document, source));
  }

  private void offerNow(Document document, String source) {
    AdoptResult result = store.offer(document);
    EventLog.event("document")
        .with("name", document.name().label())
        .with("revision", document.revision())
        .with("source", source)
        .with("result", result.getClass().getSimpleName())
        .info();
    if (result instanceof AdoptResult.Adopted) {
      onAdopted(document);
    } else if (result instanceof AdoptResult.Invalid invalid) {
      logFindings(document, invalid);
    }
  }

  private void onAdopted(Document document) {
    if (document.name() == DocumentName.VMS && !store.current().isComplete()) {
      announceAddress();
      requestDigestFromOneOf(listedPeers(false));
    }
    announceRevisions();
  }

  /**
   * Announces this VM's address, which the list may lack, to listed VMs of its own zone and
   * requests a reply.
   */
  private void announceAddress() {
    Member self = membership.self();
    MemberEntry entry =
        MemberEntry.newBuilder()
            .setVm(self.vm())
            .setIncarnation(self.incarnation())
            .setAddress(self.address())
            .build();
    List<String> others = new ArrayList<>(listedPeers(true));
    Collections.shuffle(others, random);
    for (String vm : others.subList(0, Math.min(ANNOUNCEMENT_FAN_OUT, others.size()))) {
      Heartbeat.Builder announcement =
          Heartbeat.newBuilder().addEntries(entry).setReplyWanted(true);
      link.send(vm, Envelope.newBuilder().setHeartbeat(announcement));
    }
  }

  private void announceRevisions() {
    List<String> others = new ArrayList<>();
    for (Member member : membership.live()) {
      if (!member.vm().equals(membership.self().vm())) {
        others.add(member.vm());
      }
    }
    Collections.shuffle(others, random);
    others.stream().limit(ANNOUNCEMENT_FAN_OUT).forEach(vm -> sendDigest(vm, false));
  }

  private static void logFindings(Document document, AdoptResult.Invalid invalid) {
    for (Finding finding : invalid.findings()) {
      EventLog.event("document-finding")
          .with("revision", document.revision())
          .with("sha256", DigestUtils.sha256Hex(document.content()))
          .with("finding", finding)
          .warn();
    }
  }
}
