#include <dandeliondock/settings/json_reader.h>

#include <dandeliondock/codec/protobuf_codec.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <google/protobuf/descriptor.h>
#include <google/protobuf/struct.pb.h>

#include <cmath>
#include <limits>
#include <vector>

namespace dandeliondock {

namespace {

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::Struct;
using google::protobuf::Value;

// 2^53 - 1. JSON numbers are read as doubles, which represent every integer up to this value exactly.
constexpr double maxExactInteger = 9007199254740991.0;
constexpr std::size_t maxShownValueLength = 80;

std::string formatValue(const Value &value)
{
    if (value.kind_case() == Value::kNumberValue)
        return absl::StrCat(value.number_value());
    std::string text = printJson(value);
    if (text.size() > maxShownValueLength)
        text = text.substr(0, maxShownValueLength) + "...";
    return text;
}

std::string fieldNames(const Descriptor &type)
{
    std::vector<std::string> names;
    names.reserve(static_cast<std::size_t>(type.field_count()));
    for (int i = 0; i < type.field_count(); ++i)
        names.push_back(type.field(i)->name());
    return absl::StrJoin(names, ", ");
}

double maxValueOf(const FieldDescriptor &field)
{
    if (field.cpp_type() == FieldDescriptor::CPPTYPE_UINT32)
        return static_cast<double>(std::numeric_limits<std::uint32_t>::max());
    return maxExactInteger;
}

class SettingsJsonReader
{
public:
    explicit SettingsJsonReader(SettingsErrors &errors) : m_errors(errors) {}

    void readObject(const Struct &object, const std::string &prefix, Message &message)
    {
        for (const auto &[name, value] : object.fields()) {
            const std::string key = prefix + name;
            m_givenKeys.insert(key);
            const FieldDescriptor *field = message.GetDescriptor()->FindFieldByName(name);
            if (field == nullptr)
                reject(key, value, absl::StrCat("unknown key; use one of ", fieldNames(*message.GetDescriptor())));
            else if (field->is_repeated())
                readList(value, key, *field, message);
            else
                readField(value, key, *field, message);
        }
    }

    [[nodiscard]] GivenKeys givenKeys() const { return m_givenKeys; }

private:
    void reject(const std::string &key, const Value &value, absl::string_view detail)
    {
        // The value of an unknown key or of a wrong type may be the operator key, for example under a misspelt name.
        const bool isSecret = key.find("key") != std::string::npos;
        m_errors.add(key, isSecret ? "(hidden)" : formatValue(value), detail);
    }

    void readField(const Value &value, const std::string &key, const FieldDescriptor &field, Message &message)
    {
        switch (field.cpp_type()) {
        case FieldDescriptor::CPPTYPE_MESSAGE:
            return readMessage(value, key, field, message);
        case FieldDescriptor::CPPTYPE_STRING:
            return readString(value, key, field, message);
        case FieldDescriptor::CPPTYPE_UINT32:
        case FieldDescriptor::CPPTYPE_UINT64:
            return readInteger(value, key, field, message);
        case FieldDescriptor::CPPTYPE_DOUBLE:
            return readDouble(value, key, field, message);
        default:
            return reject(key, value, "fields of this type are not supported");
        }
    }

    void readMessage(const Value &value, const std::string &key, const FieldDescriptor &field, Message &message)
    {
        if (value.kind_case() != Value::kStructValue)
            return reject(key, value, "must be an object in braces");
        Message *nested = message.GetReflection()->MutableMessage(&message, &field);
        readObject(value.struct_value(), key + ".", *nested);
    }

    void readString(const Value &value, const std::string &key, const FieldDescriptor &field, Message &message)
    {
        if (value.kind_case() != Value::kStringValue)
            return reject(key, value, "must be a string in quotes");
        message.GetReflection()->SetString(&message, &field, value.string_value());
    }

    void readInteger(const Value &value, const std::string &key, const FieldDescriptor &field, Message &message)
    {
        const double number = value.number_value();
        const bool isValid = value.kind_case() == Value::kNumberValue && number >= 0 && number <= maxValueOf(field)
                             && number == std::floor(number);
        if (!isValid)
            return reject(key, value, "must be an integer of 0 or more, without quotes");
        if (field.cpp_type() == FieldDescriptor::CPPTYPE_UINT32)
            message.GetReflection()->SetUInt32(&message, &field, static_cast<std::uint32_t>(number));
        else
            message.GetReflection()->SetUInt64(&message, &field, static_cast<std::uint64_t>(number));
    }

    void readDouble(const Value &value, const std::string &key, const FieldDescriptor &field, Message &message)
    {
        if (value.kind_case() != Value::kNumberValue)
            return reject(key, value, "must be a number without quotes");
        message.GetReflection()->SetDouble(&message, &field, value.number_value());
    }

    // Lists in settings contain only strings.
    void readList(const Value &value, const std::string &key, const FieldDescriptor &field, Message &message)
    {
        if (value.kind_case() != Value::kListValue)
            return reject(key, value, "must be a list in brackets");
        int index = 0;
        for (const Value &item : value.list_value().values()) {
            const std::string itemKey = absl::StrCat(key, "[", index++, "]");
            if (item.kind_case() != Value::kStringValue)
                reject(itemKey, item, "must be a string in quotes");
            else
                message.GetReflection()->AddString(&message, &field, item.string_value());
        }
    }

    SettingsErrors &m_errors;
    GivenKeys m_givenKeys;
};

} // namespace

GivenKeys readSettingsJson(const std::string &json, Message &message, SettingsErrors &errors)
{
    Struct object;
    if (absl::Status status = parseJson(json, ErrorKind::InvalidSettings, "JSON", object); !status.ok()) {
        errors.add("(file)", "no JSON object", errorDetail(status));
        return {};
    }
    SettingsJsonReader reader(errors);
    reader.readObject(object, "", message);
    return reader.givenKeys();
}

} // namespace dandeliondock
