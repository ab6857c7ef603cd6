package org.zinniaspan.standins.load;

import java.util.Optional;
import org.zinniaspan.standins.engine.EngineProfile;

/**
 * One kind of request of a workload: a chat request to an engine or a call to a plain service.
 *
 * @param serviceClass name of the class
 * @param share share of all requests of the workload, from 0 to 1
 * @param chat shape of the chat request, if it is one
 * @param call shape of the service call, if it is one
 */
record RequestKind(String serviceClass, double share, Optional<Chat> chat, Optional<Call> call) {

  private static final int CHARACTERS_PER_TOKEN = 4;
  private static final double MS_PER_SECOND = 1_000.0;

  /**
   * Shape of a chat request.
   *
   * @param model name of the model
   * @param sharedCharacters length of the prompt prefix that all requests of an organisation share
   * @param ownCharacters length of the rest of the prompt
   * @param meanTokens mean length of the answer in tokens
   */
  record Chat(String model, int sharedCharacters, int ownCharacters, int meanTokens) {}

  /**
   * Shape of a call to a plain service.
   *
   * @param method HTTP method
   * @param path path, which begins with the name of the service
   * @param hasIdempotencyKey whether the call carries an idempotency key
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

  /**
   * Estimates the engine time of an answer, in milliseconds: its share of the steps of a full batch
   * and the time to read its own prompt characters; 0 for a call to a plain service.
   */
  double engineMs(EngineProfile profile, int tokens) {
    if (chat.isEmpty()) {
      return 0;
    }
    double stepMs = profile.baseMsPerToken() + profile.slots() * profile.msPerTokenPerRequest();
    double promptTokens = (double) chat.get().ownCharacters() / CHARACTERS_PER_TOKEN;
    return tokens * stepMs / profile.slots()
        + MS_PER_SECOND * promptTokens / profile.prefillTokensPerSecond();
  }

  /** Estimates the mean engine time of a request of this kind, in milliseconds. */
  double meanEngineMs(EngineProfile profile) {
    return engineMs(profile, chat.map(Chat::meanTokens).orElse(0));
  }
}
