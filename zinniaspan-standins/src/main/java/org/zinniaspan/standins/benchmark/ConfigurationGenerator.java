package org.zinniaspan.standins.benchmark;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.DigestUtils;
import org.zinniaspan.configuration.AdoptResult;
import org.zinniaspan.configuration.Configuration;
import org.zinniaspan.configuration.ConfigurationStore;
import org.zinniaspan.configuration.Document;
import org.zinniaspan.configuration.DocumentName;

/** Generates configurations with a given number of endpoints and organisations. */
final class ConfigurationGenerator {

  static final String ZONE = "zone-a";
  static final String MODEL = "model-0";
  private static final int MODEL_COUNT = 7;
  private static final int SLOTS_PER_ENDPOINT = 8;

  private final ObjectMapper mapper = new ObjectMapper();
  private final ConfigurationStore store = new ConfigurationStore();

  Configuration generate(int endpoints, int organisations) {
    offer(DocumentName.INVENTORY, inventory(endpoints).toString());
    offer(DocumentName.ORGANISATIONS, organisations(organisations).toString());
    return store.current();
  }

  private void offer(DocumentName name, String content) {
    byte[] bytes = content.getBytes(StandardCharsets.UTF_8);
    AdoptResult result = store.offer(new Document(name, 1, bytes));
    if (result instanceof AdoptResult.Invalid invalid) {
      throw new IllegalStateException(name + ": " + invalid.findings());
    }
  }

  private ObjectNode inventory(int endpoints) {
    ObjectNode inventory = mapper.createObjectNode();
    ArrayNode regions = inventory.putArray("regions");
    regions.addObject().put("name", "region-1").putArray("zones").add(ZONE);
    ArrayNode models = inventory.putArray("models");
    for (int i = 0; i < MODEL_COUNT; i++) {
      models.addObject().put("name", "model-" + i).put("memoryMb", 1_000);
    }
    ArrayNode rows = inventory.putArray("endpoints");
    for (int i = 0; i < endpoints; i++) {
      ObjectNode row = rows.addObject();
      row.put("name", "engine-" + i).put("kind", "engine").put("zone", ZONE);
      row.put("address", "10.0.0.1:" + (1_024 + i)).put("slots", SLOTS_PER_ENDPOINT);
      row.putArray("models").add(MODEL).add("model-" + (1 + i % (MODEL_COUNT - 1)));
    }
    return inventory;
  }

  private ArrayNode organisations(int count) {
    ArrayNode rows = mapper.createArrayNode();
    for (int i = 0; i < count; i++) {
      rows.addObject()
          .put("name", organisationName(i))
          .put("keySha256", DigestUtils.sha256Hex(organisationName(i)))
          .put("weight", 1);
    }
    return rows;
  }

  static String organisationName(int organisation) {
    return "organisation-" + organisation;
  }
}
