package org.zinniaspan.proxy;

import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.apache.hc.core5.http.HttpRequest;
import org.zinniaspan.forwarding.Prompt;
import org.zinniaspan.forwarding.RequestFacts;
import org.zinniaspan.forwarding.RequestFingerprint;

/**
 * What may make a request crash endpoints.
 *
 * @param fingerprint fingerprint of the request
 * @param all ids of the parts of its prompt, in order, and the fingerprint
 */
record RequestTraits(String fingerprint, Set<String> all) {

  /** Returns the traits of a request, whose body is hashed. */
  static RequestTraits of(HttpRequest head, RequestFacts facts, byte[] body) {
    String fingerprint =
        RequestFingerprint.of(head.getMethod(), facts.host(), head.getPath(), facts.apiKey(), body);
    Set<String> all = new LinkedHashSet<>(facts.prompt().map(Prompt::partIds).orElse(List.of()));
    all.add(fingerprint);
    return new RequestTraits(fingerprint, Collections.unmodifiableSet(all));
  }
}
