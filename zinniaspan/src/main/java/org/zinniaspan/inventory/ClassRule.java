package org.zinniaspan.inventory;

/**
 * Gives a class to the requests that it matches; an absent field matches everything.
 *
 * @param serviceClass class of the matched requests
 * @param model model of a chat request
 * @param service plain service
 * @param method HTTP method of a call to a plain service
 * @param pathPrefix prefix of the path within the plain service
 * @param organisation organisation
 */
public record ClassRule(
    String serviceClass,
    String model,
    String service,
    String method,
    String pathPrefix,
    String organisation) {

  /** Returns whether a chat request of an organisation to a model matches. */
  public boolean matchesChat(String requestModel, String requestOrganisation) {
    return service == null
        && matches(model, requestModel)
        && matches(organisation, requestOrganisation);
  }

  /** Returns whether a call of an organisation to a plain service matches. */
  public boolean matchesCall(
      String requestService, String requestMethod, String path, String requestOrganisation) {
    return model == null
        && matches(service, requestService)
        && matches(method, requestMethod)
        && (pathPrefix == null || path.startsWith(pathPrefix))
        && matches(organisation, requestOrganisation);
  }

  private static boolean matches(String wanted, String actual) {
    return wanted == null || wanted.equals(actual);
  }
}
