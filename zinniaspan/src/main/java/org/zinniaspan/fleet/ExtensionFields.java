package org.zinniaspan.fleet;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.UnknownFieldSet;
import java.util.List;
import java.util.Optional;

/**
 * Fields of a message that the generated code does not know. They have the encoding that the
 * comments in {@code fleet.proto} state, so that they can become declared fields.
 */
final class ExtensionFields {

  private final UnknownFieldSet fields;

  private ExtensionFields(UnknownFieldSet fields) {
    this.fields = fields;
  }

  static ExtensionFields of(UnknownFieldSet fields) {
    return new ExtensionFields(fields);
  }

  /** Returns the fields of an embedded message; empty if it is malformed. */
  static Optional<ExtensionFields> parse(ByteString message) {
    try {
      return Optional.of(of(UnknownFieldSet.parseFrom(message)));
    } catch (InvalidProtocolBufferException e) {
      return Optional.empty();
    }
  }

  /** Returns the embedded messages of a repeated field; malformed ones are left out. */
  List<ExtensionFields> messages(int number) {
    return fields.getField(number).getLengthDelimitedList().stream()
        .flatMap(message -> parse(message).stream())
        .toList();
  }

  /** Returns a text; empty if the field is absent. */
  String text(int number) {
    List<ByteString> values = fields.getField(number).getLengthDelimitedList();
    return values.isEmpty() ? "" : values.get(values.size() - 1).toStringUtf8();
  }

  /** Returns an integer; 0 if the field is absent. */
  long integer(int number) {
    List<Long> values = fields.getField(number).getVarintList();
    return values.isEmpty() ? 0 : values.get(values.size() - 1);
  }

  /** Returns a number; 0 if the field is absent. */
  double number(int number) {
    List<Integer> values = fields.getField(number).getFixed32List();
    return values.isEmpty() ? 0 : Float.intBitsToFloat(values.get(values.size() - 1));
  }

  /** Collects fields. */
  static final class Builder {
    private final UnknownFieldSet.Builder fields = UnknownFieldSet.newBuilder();

    private Builder merge(int number, UnknownFieldSet.Field.Builder field) {
      fields.mergeField(number, field.build());
      return this;
    }

    Builder text(int number, String value) {
      ByteString bytes = ByteString.copyFromUtf8(value);
      return merge(number, UnknownFieldSet.Field.newBuilder().addLengthDelimited(bytes));
    }

    Builder integer(int number, long value) {
      return merge(number, UnknownFieldSet.Field.newBuilder().addVarint(value));
    }

    Builder number(int number, double value) {
      int bits = Float.floatToIntBits((float) value);
      return merge(number, UnknownFieldSet.Field.newBuilder().addFixed32(bits));
    }

    Builder message(int number, Builder value) {
      ByteString bytes = value.build().toByteString();
      return merge(number, UnknownFieldSet.Field.newBuilder().addLengthDelimited(bytes));
    }

    UnknownFieldSet build() {
      return fields.build();
    }
  }
}
