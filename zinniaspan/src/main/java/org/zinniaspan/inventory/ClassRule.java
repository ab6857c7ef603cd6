package org.zinniaspan.inventory;

/**
 * Assigns a service class to matching requests; an absent field matches any value.
 *
 * @param serviceClass name of the class of the matching requests
 * @param model name of the model of a chat request
 * @param service name of the plain service
 * @param method HTTP method of a call to a plain service
 * @param pathPrefix prefix of the path within the plain service
 * @param organisation name of the organisation
 */
public record ClassRule(
    String serviceClass,
    String model,
    String service,
    String method,
    String pathPrefix,
    String organisation) {

  /** Returns whether this rule matches a chat request of an organisation for a model. */
  public boolean matchesChat(String requestModel, String requestOrganisation) {
    return service == null
        && matches(model, requestModel)
        && matches(organisation, requestOrganisation);
  }

  /** Returns whether this rule matches a call of an organisation to a plain service. */
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
