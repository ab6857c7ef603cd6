package org.zinniaspan.forwarding;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * The regions in which requests may be processed: all of them, or those of a set.
 *
 * <p>Example: {@code HomeRegions.of(Set.of("west")).admits(Optional.of("west"))}.
 */
public final class HomeRegions {

  /** All regions, also unknown ones. */
  public static final HomeRegions ALL = new HomeRegions(Optional.empty());

  /** No region, so that no request can be processed. */
  public static final HomeRegions NONE = of(Set.of());

  private final Optional<Set<String>> names;

  private HomeRegions(Optional<Set<String>> names) {
    this.names = names;
  }

  /** Returns the regions with the given names. */
  public static HomeRegions of(Set<String> names) {
    return new HomeRegions(Optional.of(Set.copyOf(names)));
  }

  /** Returns the names of the regions, in order; none if these are all regions. */
  public List<String> names() {
    return names.map(set -> List.copyOf(new TreeSet<>(set))).orElse(List.of());
  }

  /** Returns whether these are all regions. */
  public boolean isAll() {
    return names.isEmpty();
  }

  /**
   * Returns whether a request may be processed in a region.
   *
   * @param region name of the region; empty if it is not known, which only {@link #ALL} admits
   */
  public boolean admits(Optional<String> region) {
    return names.map(set -> region.filter(set::contains).isPresent()).orElse(true);
  }

  /** Returns the regions that are contained in both. */
  public HomeRegions intersect(HomeRegions other) {
    if (isAll()) {
      return other;
    }
    if (other.isAll()) {
      return this;
    }
    Set<String> common = new HashSet<>(names.get());
    common.retainAll(other.names.get());
    return of(common);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof HomeRegions that && names.equals(that.names);
  }

  @Override
  public int hashCode() {
    return names.hashCode();
  }

  @Override
  public String toString() {
    return names.map(Object::toString).orElse("all");
  }
}
