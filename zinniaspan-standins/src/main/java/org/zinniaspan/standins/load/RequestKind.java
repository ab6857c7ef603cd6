package org.zinniaspan.standins.load;

import java.util.Optional;
import org.zinniaspan.standins.engine.EngineProfile;

/**
 * One kind of request of a workload.
 *
 * @param serviceClass class of the request
 * @param share share of all requests, from 0 to 1
 * @param chat its shape if it goes to an engine
 * @param call its shape if it goes to a plain service
 */
record RequestKind(String serviceClass, double share, Optional<Chat> chat, Optional<Call> call) {

  private static final int CHARACTERS_PER_TOKEN = 4;
  private static final double MS_PER_SECOND = 1_000.0;

  /**
   * Shape of a chat request.
   *
   * @param model model that answers
   * @param sharedCharacters length of the prefix that all requests of an organisation share
   * @param ownCharacters length of the rest of the prompt
   * @param meanTokens mean length of the answer in tokens
   */
  record Chat(String model, int sharedCharacters, int ownCharacters, int meanTokens) {}

  /**
   * Shape of a call to a plain service.
   *
   * @param method HTTP method
   * @param path path with the service's name first
   * @param hasIdempotencyKey whether it carries an idempotency key
   */
  record Call(String method, String path, boolean hasIdempotencyKey) {}

  static RequestKind chat(
      String serviceClass,
      double share,
      String model,
      int sharedCharacters,
      int ownCharacters,
      int meanTokens) {
    Chat chat = new Chat(model, sharedCharacters, ownCharacters, meanTokens);
    return new RequestKind(serviceClass, share, Optional.of(chat), Optional.empty());
  }

  static RequestKind readCall(String serviceClass, double share, String path) {
    Call call = new Call("GET", path, false);
    return new RequestKind(serviceClass, share, Optional.empty(), Optional.of(call));
  }

  static RequestKind keyedCall(String serviceClass, double share, String path) {
    Call call = new Call("POST", path, true);
    return new RequestKind(serviceClass, share, Optional.empty(), Optional.of(call));
  }

  /** Returns the milliseconds of a whole engine with a full batch that an answer takes. */
  double engineMs(EngineProfile profile, int tokens) {
    if (chat.isEmpty()) {
      return 0;
    }
    double stepMs = profile.baseMsPerToken() + profile.slots() * profile.msPerTokenPerRequest();
    double promptTokens = (double) chat.get().ownCharacters() / CHARACTERS_PER_TOKEN;
    return tokens * stepMs / profile.slots()
        + MS_PER_SECOND * promptTokens / profile.prefillTokensPerSecond();
  }

  /** Returns the milliseconds of a whole engine that a request of this kind takes on average. */
  double meanEngineMs(EngineProfile profile) {
    return engineMs(profile, chat.map(Chat::meanTokens).orElse(0));
  }
}
