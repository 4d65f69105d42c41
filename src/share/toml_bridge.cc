#include "share/toml_bridge.h"

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <exception>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

// toml++ 3.3 reaches some of its assertions on invalid texts, for example after
// a dot at the end of a key. As an exception they become findings; with NDEBUG
// the library would assume instead that they hold.
#undef NDEBUG
struct AssertionFailure : std::logic_error {
	using std::logic_error::logic_error;
};
[[noreturn]] static void fail_assertion(const char *condition)
{
	throw AssertionFailure(condition);
}
#define TOML_ASSERT(condition) \
	((condition) ? void(0) : fail_assertion(#condition))

#include <toml++/toml.h>

namespace
{

struct Entry {
	const toml::key *key;
	const toml::node *value;
};

mmx_tree_place_t place_of(const toml::source_region &region)
{
	return {static_cast<int>(region.begin.line),
		static_cast<int>(region.begin.column)};
}

mmx_tree_kind_t kind_of(const toml::node &node)
{
	switch (node.type()) {
	case toml::node_type::table:
		return MMX_TREE_TABLE;
	case toml::node_type::array:
		return MMX_TREE_ARRAY;
	case toml::node_type::string:
		return MMX_TREE_STRING;
	case toml::node_type::integer:
		return MMX_TREE_INTEGER;
	case toml::node_type::floating_point:
		return MMX_TREE_FLOAT;
	case toml::node_type::boolean:
		return MMX_TREE_BOOLEAN;
	case toml::node_type::date:
	case toml::node_type::time:
	case toml::node_type::date_time:
		return MMX_TREE_DATE;
	default:
		return MMX_TREE_NULL;
	}
}

bool is_before(const Entry &left, const Entry &right)
{
	const auto &a = left.key->source().begin;
	const auto &b = right.key->source().begin;

	return a.line != b.line ? a.line < b.line : a.column < b.column;
}

void copy_children(mmx_tree_node_t *into, const toml::node &from);

void copy_child(mmx_tree_node_t *into, const toml::key *key,
		const toml::node &value)
{
	std::string_view name = key ? key->str() : std::string_view{};
	mmx_tree_node_t *node = mmx_tree_add(into, key ? name.data() : nullptr,
					     name.size(), kind_of(value));

	mmx_tree_set_place(node,
			   key ? place_of(key->source()) : mmx_tree_place_t{},
			   place_of(value.source()));
	if (const auto *text = value.as_string())
		mmx_tree_set_string(node, text->get().data(),
				    text->get().size());
	else if (const auto *number = value.as_integer())
		mmx_tree_set_integer(node, number->get());
	else if (const auto *flag = value.as_boolean())
		mmx_tree_set_integer(node, flag->get() ? 1 : 0);
	else
		copy_children(node, value);
}

// toml++ keeps a table sorted by key; findings follow the order of the file.
void copy_children(mmx_tree_node_t *into, const toml::node &from)
{
	if (const auto *table = from.as_table()) {
		std::vector<Entry> entries;

		for (auto &&[key, value] : *table)
			entries.push_back({&key, &value});
		std::stable_sort(entries.begin(), entries.end(), is_before);
		for (const Entry &entry : entries)
			copy_child(into, entry.key, *entry.value);
	} else if (const auto *array = from.as_array()) {
		for (const toml::node &value : *array)
			copy_child(into, nullptr, value);
	}
}

bool read_file(const char *path, std::string &text, mmx_findings_t *findings)
{
	char buffer[16384];
	size_t length;
	FILE *stream = std::fopen(path, "rb");
	int error = errno;
	bool failed;

	if (!stream) {
		mmx_findings_add(findings, path, 0, 0, "cannot read file: %s",
				 std::strerror(error));
		return false;
	}
	while (text.size() <= MMX_TOML_FILE_MAX &&
	       (length = std::fread(buffer, 1, sizeof(buffer), stream)) > 0)
		text.append(buffer, length);
	error = errno;
	failed = std::ferror(stream) != 0;
	std::fclose(stream);
	if (failed)
		mmx_findings_add(findings, path, 0, 0, "cannot read file: %s",
				 std::strerror(error));
	else if (text.size() > MMX_TOML_FILE_MAX)
		mmx_findings_add(findings, path, 0, 0,
				 "file is longer than %lu bytes",
				 MMX_TOML_FILE_MAX);
	return !failed && text.size() <= MMX_TOML_FILE_MAX;
}

bool has_assertion_failure(std::string_view text)
{
	try {
		return toml::parse(text).empty() && false;
	} catch (const AssertionFailure &) {
		return true;
	} catch (const std::exception &) {
		return false;
	}
}

// True if a character starts there, or the text ends.
bool is_boundary(std::string_view text, size_t at)
{
	return at == text.size() ||
	       (static_cast<unsigned char>(text[at]) & 0xc0) != 0x80;
}

// The parser goes through the text once, so that a beginning of it fails if
// and only if it holds the place of the failure. A beginning that ends inside
// a character fails in another way and is not tried.
size_t find_failure(std::string_view text)
{
	size_t low = 0;
	size_t high = text.size();

	while (low < high) {
		size_t middle = low + (high - low) / 2;

		while (!is_boundary(text, middle))
			middle--;
		if (has_assertion_failure(text.substr(0, middle))) {
			high = middle;
			continue;
		}
		low = middle + 1;
		while (!is_boundary(text, low))
			low++;
	}
	return low;
}

// Place of the last character of a beginning of a text, as toml++ counts it.
mmx_tree_place_t place_of_last(std::string_view beginning)
{
	mmx_tree_place_t place = {1, 0};

	for (size_t i = 0; i < beginning.size(); i++) {
		if (i && beginning[i - 1] == '\n') {
			place.line++;
			place.column = 0;
		}
		if (is_boundary(beginning, i))
			place.column++;
	}
	return place;
}

} // namespace

extern "C" mmx_tree_node_t *mmx_toml_parse(const char *file, const char *text,
					   size_t length,
					   mmx_findings_t *findings)
{
	mmx_tree_node_t *root = nullptr;

	try {
		toml::table table = toml::parse(std::string_view{text, length});

		root = mmx_tree_create();
		copy_children(root, table);
		return root;
	} catch (const toml::parse_error &error) {
		mmx_tree_place_t place = place_of(error.source());

		mmx_findings_add(findings, file, place.line, place.column,
				 "syntax error: %.*s",
				 static_cast<int>(error.description().size()),
				 error.description().data());
	} catch (const AssertionFailure &) {
		std::string_view whole{text, length};
		mmx_tree_place_t place =
			place_of_last(whole.substr(0, find_failure(whole)));

		mmx_findings_add(findings, file, place.line, place.column,
				 "syntax error: unexpected character");
	} catch (const std::exception &error) {
		mmx_findings_add(findings, file, 0, 0, "cannot parse: %s",
				 error.what());
	}
	mmx_tree_destroy(root);
	return nullptr;
}

extern "C" mmx_tree_node_t *mmx_toml_parse_file(const char *path,
						mmx_findings_t *findings)
{
	std::string text;

	if (!read_file(path, text, findings))
		return nullptr;
	return mmx_toml_parse(path, text.data(), text.size(), findings);
}
